"""Which task leases are due for renewal."""

from azurevane._internal.models import worker as worker_models

# Leases last 60 s and are renewed every 20 s by the controller. Other
# control daemons step in 10 s later, so that usually only one renews.
CONTROLLER_RENEWS_BELOW_S = 40.0
OTHERS_RENEW_BELOW_S = 30.0


def tasks_to_renew(
    report: worker_models.WorkerReport, renewed: int, controller: bool
) -> tuple[str, ...]:
    """Return the tasks of a worker whose leases are due.

    A report supports one renewal: the platform's copy of the last report
    of a silent worker must not keep its tasks alive, because the
    controller starts them elsewhere a fixed time after it.

    Args:
        renewed: sequence of the report that the last renewal was for.
        controller: whether this daemon holds controller leases.
    """
    if report.sequence == renewed:
        return ()
    below = CONTROLLER_RENEWS_BELOW_S if controller else OTHERS_RENEW_BELOW_S
    return tuple(
        running.task_id
        for running in report.running
        if running.lease_left_s < below
    )
