"""Capacity of runs that aren't assigned but may use their runner.

These are runs that are being stopped because their task is done, until their
runner no longer lists them, and those that a previous leader may have started
without storing it.
"""

from collections.abc import Iterable, Mapping

from azurevane._internal.models import job as job_models
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
            _add_need(needs_by_team, job.job.team, need)
    return needs_by_team


def _add_need(
    needs_by_team: dict[str, list[int]], team: str, need: job_models.Capacity
) -> None:
    needs = needs_by_team.setdefault(team, [0, 0, 0])
    needs[0] += need.cpu
    needs[1] += need.memory
    needs[2] += need.gpu


def count_by_runner(
    runners: Iterable[runner_state.RunnerState],
    job_id: str,
    key: tuple[int, int],
) -> dict[str, int]:
    """Return how many runs of a step each runner is stopping.

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
    needs_by_team: dict[str, list[int]] = {}
    for job in jobs:
        for run in job.all_runs():
            if run.maybe_started:
                _add_need(needs_by_team, job.job.team, run.step.need)
    return needs_by_team
