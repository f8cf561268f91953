"""Handles the ends of runs that runners report."""

import logging

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import runner_messages as messages
from azurevane._internal.scheduler import crash_judge
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs
from azurevane._internal.scheduler import scheduler_state as state_module

logger = logging.getLogger(__name__)

# Delay before a failed task starts again, so that a task that fails at once
# isn't restarted in every planning pass.
FAILED_TASK_DELAY_S = 0.1

_Phase = runs.Phase


def log_runner_pause(
    runner: runner_state.RunnerState, reason: str, now: float
) -> None:
    """Log that a runner temporarily gets no tasks."""
    pause_s = round(runner.health.paused_until - now, 3)
    catalogue.emit(logger, events.RunnerPaused(runner.id, reason, pause_s))


class RunEndHandler:
    """Updates jobs and runners when runs end; times are monotonic seconds."""

    def __init__(
        self,
        scheduler_state: state_module.SchedulerState,
        judge: crash_judge.CrashJudge,
    ) -> None:
        self._scheduler_state = scheduler_state
        self._crash_judge = judge

    def handle_run_end(
        self,
        runner: runner_state.RunnerState,
        ended: messages.EndedTask,
        now: float,
    ) -> None:
        """Update the run, its task, its job and its runner's health."""
        job = self._scheduler_state.job_by_id.get(ended.task.job_id)
        run = None if job is None else job.find_run(ended.task)
        if run is None:
            return
        self._scheduler_state.record_begun(run.job)
        if run.maybe_started:
            run.settle_unstored_start()
            self._scheduler_state.mark_job_changed(run.job)
        current = (
            run.occupies_capacity
            and run.attempt == ended.attempt
            and run.runner_id == runner.id
        )
        ran_s = now - run.acknowledged_at if run.acknowledged_at else 0.0
        catalogue.emit(
            logger,
            events.RunEnded(
                str(ended.task),
                ended.attempt,
                runner.id,
                ended.reason.value,
                round(ran_s, 3),
                current,
                ended.number,
            ),
        )
        self._crash_judge.handle_run_end(runner, run, ended, current=current)
        self._update_health(runner, run, ended.reason, now)
        if ended.reason is messages.EndReason.DONE:
            self._handle_done(run, ended.attempt, current=current, now=now)
            return
        if current:
            if ended.checkpoint:
                run.checkpoint = ended.checkpoint
            failed = ended.reason is messages.EndReason.FAILED
            delay_s = FAILED_TASK_DELAY_S if failed else 0.0
            self._scheduler_state.release_run(run, now, now + delay_s)
        if ended.reason is messages.EndReason.FAILED:
            self._record_failure(run, ended.attempt, now)

    def _update_health(
        self,
        runner: runner_state.RunnerState,
        run: runs.Run,
        reason: messages.EndReason,
        now: float,
    ) -> None:
        """Update a runner's health from the end of a run on it."""
        if reason is messages.EndReason.DONE:
            runner.health.record_success()
        if reason is not messages.EndReason.FAILED or run.step.long_running:
            return
        failed_before = bool(run.failed_attempts)
        run.failed_on.add(runner.id)
        if failed_before:
            # The task itself may be at fault and fail on any runner.
            return
        if runner.health.record_failure(run.job.job.id, now):
            log_runner_pause(runner, "its tasks fail", now)

    def _handle_done(
        self, run: runs.Run, attempt: int, *, current: bool, now: float
    ) -> None:
        if run.phase is _Phase.DONE:
            return
        if run.step.long_running:
            if current:
                self._scheduler_state.release_run(run, now)
            return
        self._scheduler_state.finish_run(run, attempt, now)

    def _record_failure(self, run: runs.Run, attempt: int, now: float) -> None:
        """Count a failed attempt.

        The last one allowed fails the job, unless the step allows several
        runs of a task and another one goes on.
        """
        if run.step.long_running or run.phase is _Phase.DONE:
            return
        run.failed_attempts.add(attempt)
        self._scheduler_state.mark_job_changed(run.job)
        members = [run]
        if run.step.gang:
            key = run.name.occurrence, run.name.step
            members = run.job.runs_by_step[key]
        failed = set().union(*(member.failed_attempts for member in members))
        exhausted = len(failed) >= run.job.job.attempts
        if run.step.speculative and run.occupies_capacity and run.maybe_begun:
            return
        if exhausted and not run.job.status.ended:
            self._scheduler_state.end_job(
                run.job,
                runs.JobStatus.FAILED,
                f"task {run.name} failed {len(failed)} times",
                now,
            )
