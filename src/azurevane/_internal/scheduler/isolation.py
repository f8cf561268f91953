"""Isolates the starts of tasks that are suspected of crashing runners."""

from collections.abc import Iterable, Sequence
import logging

from azurevane._internal.events import catalogue
from azurevane._internal.events import crash_events as events
from azurevane._internal.policy import crash_attribution
from azurevane._internal.policy import isolated_starts
from azurevane._internal.policy import task_placement
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs as runs_module

logger = logging.getLogger(__name__)

# A runner is kept for a suspected task for this long. Its last ordinary start
# settles in the meantime.
RESERVATION_S = 1.0

_Isolation = crash_attribution.Isolation


def isolation_of(run: runs_module.Run, now: float) -> _Isolation:
    """Return how the next run of a waiting task is to be isolated."""
    return run.job.crash_history(run).isolation(now - run.waiting_since)


def find_starts(
    runners: Iterable[runner_state.RunnerState], now: float
) -> isolated_starts.IsolatedStarts:
    """Return what runners are starting, as input for placing tasks."""
    return isolated_starts.IsolatedStarts(
        _runner_starts(runner, now) for runner in runners
    )


def _runner_starts(
    runner: runner_state.RunnerState, now: float
) -> isolated_starts.RunnerStarts:
    starting, suspected_jobs, exclusive_job = False, set(), ""
    for run in runner.run_by_task.values():
        history = run.job.crash_history(run)
        isolation = history.isolation(0.0)
        if isolation is _Isolation.ALONE:
            exclusive_job = run.job.job.id
        elif isolation is _Isolation.APART:
            suspected_jobs.add(run.job.job.id)
        began_at = run.acknowledged_at
        if not began_at or now - began_at < crash_attribution.SETTLING_S:
            starting = True
    return isolated_starts.RunnerStarts(
        runner.id,
        starting,
        frozenset(suspected_jobs),
        exclusive_job,
        now < runner.reserved_until,
    )


def reserve_runner(
    request: task_placement.StepRequest,
    runners: Sequence[runner_state.RunnerState],
    starts: isolated_starts.IsolatedStarts,
    now: float,
) -> None:
    """Keep a runner for a task that has to start alone and found none.

    Otherwise a busy pool would never have a runner without recent starts.
    """
    step = request.step
    suitable = [
        runner
        for runner in runners
        if (
            not step.required_label
            or step.required_label in runner.entry.labels
        )
        and (
            request.allowed_runners is None
            or runner.id in request.allowed_runners
        )
        and runner.entry.capacity.covers(task_placement.capacity_needed(step))
    ]
    reserved = [r for r in suitable if now < r.reserved_until]
    if reserved or not suitable or not starts.may_exclude_others():
        return
    runner = min(suitable, key=lambda runner: len(runner.run_by_task))
    runner.reserved_until = now + RESERVATION_S
    catalogue.emit(
        logger,
        events.RunnerReserved(
            runner.id,
            f"{request.job_id}.{request.occurrence}.{request.step_index}"
            f".{request.waiting_indexes[0]}",
            len(runner.run_by_task),
            RESERVATION_S,
        ),
    )
