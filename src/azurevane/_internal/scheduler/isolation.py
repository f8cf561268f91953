"""Isolates the starts of tasks that are suspected of crashing runners."""

from collections.abc import Iterable, Sequence
import dataclasses
import logging

from azurevane._internal.events import catalogue
from azurevane._internal.events import crash_events as events
from azurevane._internal.models import job as job_models
from azurevane._internal.policy import crash_attribution
from azurevane._internal.policy import isolated_starts
from azurevane._internal.policy import task_placement
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs as runs_module

logger = logging.getLogger(__name__)

# A runner is kept for suspected tasks for this long, and for longer while some
# wait.
RESERVATION_S = 0.5
# A task that crashed one runner and found none to start alone on for this long
# starts like any other: no runner is kept for it, as there are many such.
MAX_PROBE_WAIT_S = 1.0
# The same for a gang, which may need more runners than are kept.
MAX_GANG_WAIT_S = 5.0
# A runner that hasn't reported after this time that a suspected task goes on
# starts others again.
MAX_TRIAL_S = 1.5


def split_request(
    job: runs_module.JobState,
    request: task_placement.StepRequest,
    now: float,
) -> list[task_placement.StepRequest]:
    """Return requests of their own for the suspected tasks of a step.

    While one suspected task starts, those of the same job wait, as they may
    all crash their runners. A job with a task on trial, or before it, starts
    no other task, as that task is likely to fail the job.
    """
    if not job.crash_history_by_task:
        return [request]
    step_runs = job.runs_by_step[request.occurrence, request.step_index]
    awaits_trial = job.awaits_trial(now)
    suspect_starts = job.starts_suspected_task()
    indexes_by_isolated_s: dict[float | None, list[int]] = {}
    for index in request.waiting_indexes:
        run = step_runs[index]
        history = job.crash_history(run)
        if awaits_trial and not history.needs_trial:
            continue
        if suspect_starts and history.suspected:
            continue
        isolated_s = history.isolated_s
        if now - run.waiting_since > _max_wait_s(run):
            isolated_s = None
        indexes_by_isolated_s.setdefault(isolated_s, []).append(index)
    return [
        dataclasses.replace(
            request, waiting_indexes=tuple(indexes), isolated_s=isolated_s
        )
        for isolated_s, indexes in indexes_by_isolated_s.items()
    ]


def on_trial(
    job: runs_module.JobState, request: task_placement.StepRequest
) -> bool:
    """Whether a request is for tasks that one more crash gives up."""
    step_runs = job.runs_by_step[request.occurrence, request.step_index]
    return request.isolated_s is not None and any(
        job.crash_history(step_runs[index]).needs_trial
        for index in request.waiting_indexes
    )


def _max_wait_s(run: runs_module.Run) -> float:
    """Return for how long a suspected task waits to start alone."""
    if not run.job.crash_history(run).needs_trial:
        return MAX_PROBE_WAIT_S
    return MAX_GANG_WAIT_S if run.step.gang else float("inf")


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
    latest_start_s, isolated_job = float("inf"), ""
    for run in runner.run_by_task.values():
        begun_s = now - run.acknowledged_at if run.acknowledged_at else 0.0
        latest_start_s = min(latest_start_s, begun_s)
        history = run.job.crash_history(run)
        if begun_s < (_longest_isolation_s(history) or 0.0):
            isolated_job = run.job.job.id
    return isolated_starts.RunnerStarts(
        runner.id, latest_start_s, isolated_job, now < runner.reserved_until
    )


def _longest_isolation_s(
    history: crash_attribution.CrashHistory,
) -> float | None:
    """Return until how long after its start a task is isolated at most.

    A trial ends with the report that clears the task.
    """
    return MAX_TRIAL_S if history.needs_trial else history.isolated_s


def reserve_runners(
    requests: Iterable[task_placement.StepRequest],
    runners: Sequence[runner_state.RunnerState],
    now: float,
) -> None:
    """Keep runners for suspected tasks that found none.

    Otherwise a busy pool would never have a runner without recent starts.
    Runners that are kept already stay so.
    """
    starts = find_starts(runners, now)
    reserved = [runner for runner in runners if now < runner.reserved_until]
    waiting_jobs = set()
    for request in requests:
        if request.job_id in waiting_jobs:
            continue
        waiting_jobs.add(request.job_id)
        kept = next((r for r in reserved if _suits(request, r)), None)
        if kept is not None:
            reserved.remove(kept)
            kept.reserved_until = now + RESERVATION_S
            continue
        if not starts.may_isolate_another():
            continue
        suitable = [
            runner
            for runner in runners
            if starts.may_reserve(runner.id) and _suits(request, runner)
        ]
        if suitable:
            runner = min(suitable, key=lambda runner: len(runner.run_by_task))
            starts.record_reservation(runner.id)
            _reserve(runner, request, now)


def _suits(
    request: task_placement.StepRequest, runner: runner_state.RunnerState
) -> bool:
    """Whether a runner can run a request's task once others have ended."""
    step = request.step
    if step.required_label and step.required_label not in runner.entry.labels:
        return False
    allowed = request.allowed_runners
    if allowed is not None and runner.id not in allowed:
        return False
    if runner.id in request.avoided_runners:
        return False
    if request.fills_share_of(runner.id):
        return False
    room = runner.entry.capacity
    for run in runner.run_by_task.values():
        if run.step.long_running:
            room -= task_placement.capacity_needed(run.step)
    return room.covers(task_placement.capacity_needed(step))


def _reserve(
    runner: runner_state.RunnerState,
    request: task_placement.StepRequest,
    now: float,
) -> None:
    runner.reserved_until = now + RESERVATION_S
    task = job_models.TaskName(
        request.job_id,
        request.occurrence,
        request.step_index,
        request.waiting_indexes[0],
    )
    catalogue.emit(
        logger,
        events.RunnerReserved(
            runner.id, str(task), len(runner.run_by_task), RESERVATION_S
        ),
    )
