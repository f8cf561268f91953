"""Availability budgets of long-running steps."""

from azurevane._internal.scheduler import runs


def may_stop(run: runs.Run, now: float) -> bool:
    """Whether stopping a run keeps its step's availability budget.

    Every other task of the step that isn't known to be serving counts as
    unavailable, whatever the cause and however short, and so does one that
    a previous leader may have stopped. The run itself may have begun to
    serve since its last report, so it always counts as serving.

    Args:
        now: monotonic time in seconds.
    """
    budget = run.step.max_unavailable
    if not run.step.long_running or budget is None:
        return True
    members = run.job.runs_by_step[run.name.occurrence, run.name.step]
    unavailable = sum(
        not other.serving or now < other.earlier_stop_until
        for other in members
        if other is not run
    )
    return unavailable < budget
