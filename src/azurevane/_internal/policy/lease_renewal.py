"""Decides which task leases to renew."""

from azurevane._internal.models import worker as worker_models

# Leases last 60 s, and the controller renews them every 20 s. Other control
# daemons renew a lease 10 s later, so that usually only one daemon renews it.
CONTROLLER_RENEWS_BELOW_S = 40.0
OTHERS_RENEW_BELOW_S = 30.0


def tasks_to_renew(
    report: worker_models.WorkerReport, renewed: int, controller: bool
) -> tuple[str, ...]:
    """Return the tasks of a worker whose leases are due for renewal.

    Each report allows only one renewal. The platform keeps the last report
    of a silent worker, and this copy must not extend the leases of its tasks,
    because the controller starts them elsewhere a fixed time after that
    report.

    Args:
        renewed: sequence number of the report used for the last renewal.
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
