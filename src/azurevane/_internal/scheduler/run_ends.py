"""What follows from the end of a run."""

import logging

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import runner_messages as messages
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs
from azurevane._internal.scheduler import scheduler_state as state_module

logger = logging.getLogger(__name__)

# Pause after a run failed, so that a task that fails at once doesn't take
# every turn.
FAILED_PAUSE_S = 0.1

_Phase = runs.Phase


def log_runner_pause(
    state: runner_state.RunnerState, reason: str, now: float
) -> None:
    """Log that a runner gets no tasks for a while."""
    pause_s = round(state.health.paused_until - now, 3)
    catalogue.emit(logger, events.RunnerPaused(state.id, reason, pause_s))


class RunEndHandler:
    """Takes in ends that runners list; times are steady seconds."""

    def __init__(self, scheduler_state: state_module.SchedulerState) -> None:
        self._scheduler_state = scheduler_state

    def handle_run_end(
        self,
        state: runner_state.RunnerState,
        ended: messages.EndedTask,
        now: float,
    ) -> None:
        """Judge an end's run, its task, its job and its runner."""
        job = self._scheduler_state.job_by_id.get(ended.task.job_id)
        run = None if job is None else job.find_run(ended.task)
        if run is None:
            return
        current = (
            run.occupies_capacity
            and run.attempt == ended.attempt
            and run.runner_id == state.id
        )
        ran_s = now - run.acknowledged_at if run.acknowledged_at else 0.0
        catalogue.emit(
            logger,
            events.RunEnded(
                str(ended.task),
                ended.attempt,
                state.id,
                ended.reason.value,
                round(ran_s, 3),
                current,
            ),
        )
        self._judge(state, run, ended.reason, now)
        if ended.reason is messages.EndReason.DONE:
            self._end_done(run, current=current, now=now)
            return
        if current:
            if ended.checkpoint:
                run.checkpoint = ended.checkpoint
            failed = ended.reason is messages.EndReason.FAILED
            pause = FAILED_PAUSE_S if failed else 0.0
            self._scheduler_state.release_run(run, now, now + pause)
        if ended.reason is messages.EndReason.FAILED:
            self._count_failure(run, ended.attempt, now)

    def _judge(
        self,
        state: runner_state.RunnerState,
        run: runs.Run,
        reason: messages.EndReason,
        now: float,
    ) -> None:
        """Take in what an end says of its runner."""
        if reason is messages.EndReason.DONE:
            state.health.record_success()
        if reason is not messages.EndReason.FAILED or run.step.long_running:
            return
        failed_before = bool(run.failed_attempts)
        run.failed_on.add(state.id)
        if failed_before:
            # The task may fail wherever it runs.
            return
        if state.health.record_failure(run.job.job.id, now):
            log_runner_pause(state, "its tasks fail", now)

    def _end_done(self, run: runs.Run, *, current: bool, now: float) -> None:
        if run.phase is _Phase.DONE:
            return
        if run.step.long_running:
            if current:
                self._scheduler_state.release_run(run, now)
            return
        self._scheduler_state.finish_run(run, now)

    def _count_failure(self, run: runs.Run, attempt: int, now: float) -> None:
        if run.step.long_running or run.phase is _Phase.DONE:
            return
        run.failed_attempts.add(attempt)
        self._scheduler_state.mark_job_changed(run.job)
        members = [run]
        if run.step.gang:
            key = run.name.occurrence, run.name.step
            members = run.job.runs_by_step[key]
        failed = set().union(*(one.failed_attempts for one in members))
        enough = len(failed) >= run.job.job.attempts
        if enough and not run.job.status.ended:
            self._scheduler_state.end_job(
                run.job,
                runs.JobStatus.FAILED,
                f"task {run.name} failed {len(failed)} times",
                now,
            )
