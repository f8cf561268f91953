"""Whether a long-running task may be stopped without harm to its step."""

from azurevane._internal.scheduler import runs


def may_stop(run: runs.Run) -> bool:
    """Whether stopping a run keeps its step's availability budget.

    Every other task of the step that isn't known to be at work counts as
    away, whatever the cause and however short. The run itself may have
    come to work since its last report, so it always counts as at work.
    """
    budget = run.step.max_unavailable
    if not run.step.long_running or budget is None:
        return True
    members = run.job.runs_by_step[run.name.occurrence, run.name.step]
    away = sum(not one.serving for one in members if one is not run)
    return away < budget
