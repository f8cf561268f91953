"""Capacity of runs that are being stopped because their task is done.

Such a run isn't assigned any more, but counts until its runner no longer
lists it.
"""

from collections.abc import Iterable, Mapping

from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs


def needs_by_team(
    runners: Iterable[runner_state.RunnerState],
    job_by_id: Mapping[str, runs.JobState],
) -> dict[str, list[int]]:
    """Return processors, memory and accelerators in use, by team."""
    needs_by_team: dict[str, list[int]] = {}
    for runner in runners:
        if not runner.need_by_orphan:
            continue
        for (task, _), need in runner.need_by_orphan.items():
            job = job_by_id.get(task.job_id)
            if job is None:
                continue
            needs = needs_by_team.setdefault(job.job.team, [0, 0, 0])
            needs[0] += need.cpu
            needs[1] += need.memory
            needs[2] += need.gpu
    return needs_by_team


def count_by_runner(
    runners: Iterable[runner_state.RunnerState],
    job_id: str,
    key: tuple[int, int],
) -> dict[str, int]:
    """Return how many such runs of a step each runner has.

    Args:
        key: occurrence and index of the step.
    """
    count_by_runner: dict[str, int] = {}
    for runner in runners:
        for task, _ in runner.need_by_orphan:
            if (task.job_id, task.occurrence, task.step) == (job_id, *key):
                count = count_by_runner.get(runner.id, 0)
                count_by_runner[runner.id] = count + 1
    return count_by_runner


def maybe_started_needs_by_team(
    jobs: Iterable[runs.JobState],
) -> dict[str, list[int]]:
    """Return the needs of tasks that may run without a stored assignment."""
    needs: dict[str, list[int]] = {}
    for job in jobs:
        for run in job.all_runs():
            if run.maybe_started:
                used = needs.setdefault(job.job.team, [0, 0, 0])
                used[0] += run.step.need.cpu
                used[1] += run.step.need.memory
                used[2] += run.step.need.gpu
    return needs
