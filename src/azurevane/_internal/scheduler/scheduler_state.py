"""Jobs, runners and runs of a site, and the steps between their states."""

import dataclasses
import logging

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import job as job_models
from azurevane._internal.models import runner_messages as messages
from azurevane._internal.models import site
from azurevane._internal.policy import job_order
from azurevane._internal.scheduler import commands
from azurevane._internal.scheduler import records
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import runs

logger = logging.getLogger(__name__)

# An unanswered order to stop is repeated this much later.
STOP_RESEND_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class StepAdvice:
    """Runners that may run a step, with their tickets."""

    ticket_by_runner: dict[str, str]
    valid_until: float


class SchedulerState:
    """State that the scheduler's parts share; times are steady seconds.

    Every change that must be stored before the orders that follow from it
    are sent adds its job to what ``take_changed_jobs`` returns.

    Attributes:
        draining_runners: runners that get no tasks because their host is to be
            moved or maintained.
        unreached_until: until when a runner that wasn't reached may run
            what an earlier leader ordered.
        unreached_until_by_runner: the same for runners of which more is
            known.
    """

    def __init__(self, unreached_until: float) -> None:
        self.config: site.SiteConfig | None = None
        self.zones_out: frozenset[str] = frozenset()
        self.job_by_id: dict[str, runs.JobState] = {}
        self.live_job_by_id: dict[str, runs.JobState] = {}
        self.runner_by_id: dict[str, runner_state.RunnerState] = {}
        self.draining_runners: set[str] = set()
        self.unreached_until = unreached_until
        self.unreached_until_by_runner: dict[str, float] = {}
        self.advice_by_step: dict[str, StepAdvice] = {}
        self.pending_advice_steps: set[str] = set()
        self._team_rate_meter = job_order.TeamRateMeter()
        self._used_by_team: dict[str, list[int]] = {}
        self._changed: dict[str, runs.JobState] = {}
        self._commands: list[commands.Command] = []

    def unreached_until_of(self, runner_id: str) -> float:
        """Return until when an unreached runner may run earlier orders."""
        return self.unreached_until_by_runner.get(
            runner_id, self.unreached_until
        )

    def take_changed_jobs(self) -> list[runs.JobState]:
        """Return the jobs whose state has to be stored, and forget them."""
        changed = list(self._changed.values())
        self._changed.clear()
        return changed

    def take_commands(self) -> list[commands.Command]:
        """Return the orders to send, and forget them."""
        taken, self._commands = self._commands, []
        return taken

    def queue_command(self, command: commands.Command) -> None:
        """Have an order sent."""
        self._commands.append(command)

    def mark_job_changed(self, state: runs.JobState) -> None:
        """Have a job's state stored."""
        self._changed[state.job.id] = state

    # Jobs.

    def add_job(
        self,
        job: job_models.Job,
        *,
        now: float,
        unix_now: float,
        stored_state: bytes | None = None,
    ) -> None:
        """Take in a submission; a job that is known stays as it is."""
        if job.id in self.job_by_id:
            return
        age_s = max(unix_now - job.accepted_at, 0.0)
        arrived_at = now - age_s
        state = runs.JobState(
            job,
            now=now,
            arrived_at=arrived_at,
            objective_at=arrived_at + job.objective_s,
        )
        self.job_by_id[job.id] = state
        state.beyond_share = self._take_share(job, arrived_at)
        if stored_state is not None:
            records.restore_state(state, stored_state)
        if state.status.ended:
            # When it ended isn't stored; its rows are kept from now on.
            state.ended_at = now
        if state.status.ended and not state.runs_occupying_capacity():
            return
        self.live_job_by_id[job.id] = state
        for run in state.runs_occupying_capacity():
            self._use(run, 1)
            runner = self.runner_by_id.get(run.runner_id)
            if runner is not None:
                runner.run_by_task[run.name] = run
        catalogue.emit(
            logger,
            events.JobSeen(
                job.id,
                job.queue,
                job.team,
                state.beyond_share,
                round(age_s, 3),
            ),
        )

    def _take_share(self, job: job_models.Job, arrived_at: float) -> bool:
        team = None
        if self.config is not None:
            team = self.config.team_by_name.get(job.team)
        if team is None:
            return False
        return self._team_rate_meter.count_job(
            team.name, team.weight, arrived_at
        )

    def service_of(self, job: job_models.Job) -> str:
        """Return the service whose runners run a job's tasks."""
        if self.config is None:
            return job.service
        queue = self.config.queue_by_name.get(job.queue)
        return job.service if queue is None else queue.service

    def forget_job(self, job_id: str) -> None:
        """Drop a job whose rows were deleted."""
        self.job_by_id.pop(job_id, None)
        self.live_job_by_id.pop(job_id, None)

    def cancel_job(self, job_id: str, now: float) -> None:
        """Stop a job's tasks and start no more of them."""
        state = self.job_by_id.get(job_id)
        if state is None or state.status.ended:
            return
        self.end_job(state, runs.JobStatus.CANCELLED, "cancelled", now)

    def end_job(
        self,
        state: runs.JobState,
        status: runs.JobStatus,
        reason: str,
        now: float,
    ) -> None:
        """Give a job its final state and stop what still runs."""
        state.status = status
        state.ended_at = now
        self.mark_job_changed(state)
        catalogue.emit(
            logger,
            events.JobEnded(
                state.job.id,
                state.job.queue,
                status.value,
                reason,
                round(now - state.arrived_at, 3),
                round(now - state.objective_at, 3),
            ),
        )
        for run in state.runs_occupying_capacity():
            self.stop_run(run, reason, now)
        self._drop_if_over(state)

    def _drop_if_over(self, state: runs.JobState) -> None:
        if state.status.ended and not state.runs_occupying_capacity():
            self.live_job_by_id.pop(state.job.id, None)

    def pending_by_queue(self) -> dict[str, int]:
        """Return the number of accepted jobs without any start."""
        count_by_queue: dict[str, int] = {}
        for state in self.live_job_by_id.values():
            if state.status is runs.JobStatus.QUEUED:
                name = state.job.queue
                count_by_queue[name] = count_by_queue.get(name, 0) + 1
        return count_by_queue

    # Runs.

    def assign_run(
        self, run: runs.Run, runner: runner_state.RunnerState, attempt: int
    ) -> None:
        """Choose a runner for a task's next run."""
        run.assign(runner.id, attempt)
        runner.run_by_task[run.name] = run
        self._use(run, 1)
        state = run.job
        if state.status is runs.JobStatus.QUEUED:
            state.status = runs.JobStatus.RUNNING
        self.mark_job_changed(state)

    def release_run(
        self, run: runs.Run, now: float, not_before: float = 0.0
    ) -> None:
        """End a task's run; the task waits for another one."""
        self._leave_runner(run)
        run.release(now, not_before)
        self.mark_job_changed(run.job)
        self._drop_if_over(run.job)

    def finish_run(self, run: runs.Run, now: float) -> None:
        """Record a task as done; its job completes with its last task."""
        state = run.job
        members = [run]
        if run.step.gang:
            members = state.runs_by_step[run.name.occurrence, run.name.step]
        for member in members:
            if member.occupies_capacity:
                self._leave_runner(member)
        state.mark_task_done(run)
        self.mark_job_changed(state)
        if state.complete and not state.status.ended:
            self.end_job(
                state, runs.JobStatus.COMPLETED, "all tasks done", now
            )
        self._drop_if_over(state)

    def _leave_runner(self, run: runs.Run) -> None:
        runner = self.runner_by_id.get(run.runner_id)
        if runner is not None:
            runner.run_by_task.pop(run.name, None)
        self._use(run, -1)

    def stop_run(self, run: runs.Run, reason: str, now: float) -> None:
        """Order a run to stop; it takes its room until its end is seen."""
        if run.phase is runs.Phase.ASSIGNED and not self._may_be_sent(run):
            self.release_run(run, now)
            return
        if run.serving:
            run.not_serving_since = now
        run.phase = runs.Phase.STOPPING
        self._send_stop(run, reason, now)

    def resend_stop_if_due(self, run: runs.Run, now: float) -> None:
        """Send an order to stop again if it may have been lost."""
        if now - run.stop_sent_at >= STOP_RESEND_INTERVAL_S:
            self._send_stop(run, "repeated", now)

    def _send_stop(self, run: runs.Run, reason: str, now: float) -> None:
        run.stop_sent_at = now
        message = messages.StartTask(run.name, run.attempt, "", "")
        self.queue_command(commands.StopCommand(run.runner_id, message))
        catalogue.emit(
            logger,
            events.RunStopped(
                str(run.name), run.attempt, run.runner_id, reason
            ),
        )

    @staticmethod
    def _may_be_sent(run: runs.Run) -> bool:
        return bool(run.inherited or run.sent_at)

    # Teams.

    def _use(self, run: runs.Run, sign: int) -> None:
        used = self._used_by_team.setdefault(run.job.job.team, [0, 0, 0])
        need = run.step.need
        used[0] += sign * need.cpu
        used[1] += sign * need.memory
        used[2] += sign * need.gpu

    def free_capacity_by_team(self) -> dict[str, job_models.Capacity]:
        """Return what each team with a limit may still start."""
        if self.config is None:
            return {}
        free: dict[str, job_models.Capacity] = {}
        for team in self.config.team_by_name.values():
            used = self._used_by_team.get(team.name, [0, 0, 0])
            limits = (team.cap.cpu, team.cap.memory, team.cap.gpu)
            if any(limits):
                free[team.name] = job_models.Capacity(
                    *(
                        limit - taken if limit else _UNLIMITED
                        for limit, taken in zip(limits, used, strict=True)
                    )
                )
        return free


_UNLIMITED = 1 << 40
