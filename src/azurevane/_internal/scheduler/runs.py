"""State of jobs and of the runs of their tasks."""

import collections
from collections.abc import Iterator
import enum

from azurevane._internal.models import job as job_models
from azurevane._internal.policy import crash_attribution
from azurevane._internal.policy import job_order


class Phase(enum.IntEnum):
    """Phase of a task between its submission and its end."""

    WAITING = 0
    # The start command may have been sent.
    ASSIGNED = 1
    RUNNING = 2
    STOPPING = 3
    DONE = 4


class JobStatus(enum.Enum):
    """Status of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def ended(self) -> bool:
        """Whether the status is final."""
        return self in _FINAL_STATUSES


_FINAL_STATUSES = {
    JobStatus.COMPLETED,
    JobStatus.FAILED,
    JobStatus.CANCELLED,
}
_CAPACITY_PHASES = (Phase.ASSIGNED, Phase.RUNNING, Phase.STOPPING)
# Only the first attempt of a task starts before its assignment is stored.
UNSTORED_ATTEMPT = 1
# Other tasks of a job wait for so long for one that is to start alone.
MAX_TRIAL_WAIT_S = 5.0
_NO_CRASHES = crash_attribution.CrashHistory()


class Run:
    """A task and its current or last run; times are monotonic seconds.

    Attributes:
        runner_id: runner of the current run, empty while there is none.
        last_attempt: highest number of any attempt of the task. It exceeds
            ``attempt`` if a previous leader may have used a number.
        failed_attempts: numbers of the attempts that failed.
        failed_on: ids of the runners on which the task failed or stalled,
            as far as this leader knows.
        crashed_at: addresses of the runners that crashed under the task, as
            far as this leader knows. A host keeps its address over crashes.
        percent: reported progress; 100 while a long-running task serves.
        progress_at: when the reported progress last changed.
        load: tail latency of a serving task in milliseconds, otherwise the
            processors in use, in thousandths of a core.
        pace: speed that the runner last accepted, in percent of full speed.
        inherited: whether a previous leader started the run. The runner
            rejects that leader's commands once it knows this leader.
        maybe_started: whether a previous leader may have started the first
            attempt of the task without storing its assignment.
        sent_at: when the start command was last sent, or 0.
        acknowledged_at: when the runner confirmed the start, or 0.
        begun_clock_s: time by the runner's clock when it confirmed the start,
            or None.
        unconfirmed_since: since when the outcome of the start command is
            unknown, or 0.
        stop_acknowledged_at: when the runner accepted the stop command,
            or 0.
        stop_sent_at: when the stop command was last sent, or 0.
        earlier_stop_until: until when a stop command that a previous leader
            sent may still end the run.
        not_before: earliest time of the next start.
        waiting_since: when the task began to wait for a run.
        withdrawn: whether it is being stopped only because its start got no
            response.
        not_serving_since: since when a long-running task isn't serving.
    """

    __slots__ = (
        "acknowledged_at",
        "attempt",
        "begun_clock_s",
        "checkpoint",
        "crashed_at",
        "earlier_stop_until",
        "failed_attempts",
        "failed_on",
        "inherited",
        "job",
        "last_attempt",
        "load",
        "maybe_started",
        "name",
        "not_before",
        "not_serving_since",
        "pace",
        "percent",
        "phase",
        "progress_at",
        "runner_id",
        "sent_at",
        "step",
        "stop_acknowledged_at",
        "stop_sent_at",
        "unconfirmed_since",
        "waiting_since",
        "withdrawn",
    )

    def __init__(
        self,
        job: "JobState",
        name: job_models.TaskName,
        step: job_models.Step,
        now: float,
    ) -> None:
        self.job = job
        self.name = name
        self.step = step
        self.phase = Phase.WAITING
        self.attempt = 0
        self.last_attempt = 0
        self.runner_id = ""
        self.failed_attempts: set[int] = set()
        self.failed_on: set[str] = set()
        self.crashed_at: set[str] = set()
        self.inherited = False
        self.maybe_started = False
        self.checkpoint = ""
        self.not_before = 0.0
        self.not_serving_since = now
        self.waiting_since = now
        self._reset_run_fields()

    def _reset_run_fields(self) -> None:
        """Reset what is known of the current run."""
        self.percent = 0
        self.progress_at = 0.0
        self.load = 0.0
        self.pace = 100
        self.sent_at = 0.0
        self.acknowledged_at = 0.0
        self.begun_clock_s: float | None = None
        self.unconfirmed_since = 0.0
        self.stop_acknowledged_at = 0.0
        self.stop_sent_at = 0.0
        self.earlier_stop_until = 0.0
        self.withdrawn = False

    @property
    def occupies_capacity(self) -> bool:
        """Whether the run may use capacity of its runner."""
        return self.phase in _CAPACITY_PHASES

    @property
    def maybe_begun(self) -> bool:
        """Whether the run's start command may have been sent."""
        if self.phase is not Phase.ASSIGNED:
            return True
        return bool(self.inherited or self.sent_at)

    @property
    def serving(self) -> bool:
        """Whether a long-running task is ready to serve."""
        return self.phase is Phase.RUNNING and self.percent >= 100

    def assign(self, runner_id: str, attempt: int) -> None:
        """Begin the next run, on the given runner."""
        if self.phase is Phase.WAITING:
            self.job.waiting_count -= 1
        self.phase = Phase.ASSIGNED
        self.inherited = False
        self.maybe_started = False
        self.runner_id = runner_id
        self.attempt = attempt
        self.last_attempt = max(self.last_attempt, attempt)
        self._reset_run_fields()

    def release(self, now: float, not_before: float = 0.0) -> None:
        """End the current run and wait for another one."""
        if self.serving:
            self.not_serving_since = now
        if self.phase is not Phase.WAITING:
            self.job.waiting_count += 1
        self.phase = Phase.WAITING
        self.inherited = False
        self.runner_id = ""
        self.not_before = not_before
        self.waiting_since = now
        self.unconfirmed_since = 0.0

    def settle_unstored_start(self) -> None:
        """Note that a previous leader's unstored attempt isn't running."""
        self.maybe_started = False
        self.last_attempt = max(self.last_attempt, UNSTORED_ATTEMPT)

    def finish(self) -> None:
        """Mark the task as done."""
        if self.phase is Phase.WAITING:
            self.job.waiting_count -= 1
        self.phase = Phase.DONE
        self.runner_id = ""

    def record_progress(self, percent: int, now: float) -> None:
        """Record the progress that the runner reports."""
        if percent != self.percent or not self.progress_at:
            self.progress_at = now
        self.percent = percent


class JobState:
    """A job, the runs of its tasks and its status.

    Attributes:
        arrived_at: monotonic time of the job's submission.
        objective_at: monotonic time by which the job should be done.
        ended_at: monotonic time of the final status, or 0.
        waiting_count: number of tasks that wait for a run.
        long_running: whether the job runs until it is cancelled.
        begun: whether a runner has certainly begun one of its tasks. The
            status is RUNNING from the first assignment on.
        beyond_share: whether its team had used up its share of submissions
            when the job arrived.
        runs_by_step: runs of the tasks of each (occurrence, step index).
        unfinished_by_step: number of tasks not done, by the same key.
        crash_history_by_task: crashes of runners under tasks that are
            suspected to have caused them; under a gang, by its first task.
    """

    def __init__(
        self,
        job: job_models.Job,
        *,
        now: float,
        arrived_at: float,
        objective_at: float,
    ) -> None:
        self.job = job
        self.status = JobStatus.QUEUED
        self.arrived_at = arrived_at
        self.objective_at = objective_at
        self.ended_at = 0.0
        self.cancelled = False
        self.begun = False
        self.waiting_count = 0
        self.beyond_share = False
        self.long_running = any(step.long_running for step in job.steps)
        self.runs_by_step: dict[tuple[int, int], list[Run]] = {}
        for occurrence in range(job.occurrences):
            for index, step in enumerate(job.steps):
                self.runs_by_step[occurrence, index] = [
                    Run(
                        self,
                        job_models.TaskName(job.id, occurrence, index, i),
                        step,
                        now,
                    )
                    for i in range(step.count)
                ]
        self.unfinished_by_step = {
            key: len(runs) for key, runs in self.runs_by_step.items()
        }
        self.waiting_count = sum(self.unfinished_by_step.values())
        self.crash_history_by_task: dict[
            job_models.TaskName, crash_attribution.CrashHistory
        ] = {}
        self._remaining_s: float | None = None

    @property
    def remaining_s(self) -> float:
        """Run time of the longest chain of unfinished steps."""
        if self._remaining_s is None:
            unfinished = [
                bool(self.unfinished_by_step[0, index])
                for index in range(len(self.job.steps))
            ]
            self._remaining_s = job_order.critical_path_s(
                self.job.steps, unfinished
            )
        return self._remaining_s

    def order_input(self) -> job_order.JobOrderInput:
        """Return the properties that decide the job's position."""
        return job_order.JobOrderInput(
            priority=self.job.priority,
            beyond_share=self.beyond_share,
            begun=self.status is not JobStatus.QUEUED,
            long_running=self.long_running,
            arrived_at=self.arrived_at,
            objective_at=self.objective_at,
            remaining_s=self.remaining_s,
        )

    def is_hopeless(self, now: float) -> bool:
        """Whether the job ends too late to be of use, in any case.

        Such a job waits for room that no other job needs. A pool mustn't
        become larger for it.
        """
        return job_order.is_hopeless(self.order_input(), now)

    def note_unstored_starts(self) -> None:
        """Hold the tasks that a previous leader may have started."""
        for run in self.all_runs():
            if not run.last_attempt and run.phase is Phase.WAITING:
                run.maybe_started = True

    def settle_unstored_starts(self) -> bool:
        """Let tasks start that no runner runs; return whether there are any.

        Their next attempts get higher numbers than the previous leader may
        have used, also if the leader changes again.
        """
        held = [run for run in self.all_runs() if run.maybe_started]
        for run in held:
            run.settle_unstored_start()
        return bool(held)

    def record_task_done(self, key: tuple[int, int]) -> None:
        """Count a task of an (occurrence, step index) as done."""
        self.unfinished_by_step[key] -= 1
        if not self.unfinished_by_step[key]:
            self._remaining_s = None

    def all_runs(self) -> Iterator[Run]:
        """Iterate over the runs of all tasks."""
        for runs in self.runs_by_step.values():
            yield from runs

    def runs_occupying_capacity(self) -> list[Run]:
        """Return the runs that may use capacity of a runner."""
        return [run for run in self.all_runs() if run.occupies_capacity]

    def find_run(self, name: job_models.TaskName) -> Run | None:
        """Return the run of a task, or None if the job has no such task."""
        runs = self.runs_by_step.get((name.occurrence, name.step))
        if runs is None or name.index >= len(runs):
            return None
        return runs[name.index]

    def task_count_by_runner(self, key: tuple[int, int]) -> dict[str, int]:
        """Return how many runs of a step each runner has."""
        return collections.Counter(
            run.runner_id
            for run in self.runs_by_step[key]
            if run.occupies_capacity
        )

    def crash_history(self, run: Run) -> crash_attribution.CrashHistory:
        """Return the crashes under a run's task, or under its gang."""
        if not self.crash_history_by_task:
            return _NO_CRASHES
        return self.crash_history_by_task.get(
            self._crash_key(run), _NO_CRASHES
        )

    def set_crash_history(
        self, run: Run, history: crash_attribution.CrashHistory
    ) -> None:
        """Set the crashes under a run's task, or under its gang."""
        if history.suspected:
            self.crash_history_by_task[self._crash_key(run)] = history
        else:
            self.crash_history_by_task.pop(self._crash_key(run), None)

    def _crash_key(self, run: Run) -> job_models.TaskName:
        if not run.step.gang:
            return run.name
        return self.runs_by_step[run.name.occurrence, run.name.step][0].name

    def awaits_trial(self, now: float) -> bool:
        """Whether a task that is given up after one more crash starts first.

        The others aren't held for longer than ``MAX_TRIAL_WAIT_S``, as no
        runner may suit that task.
        """
        for name, history in self.crash_history_by_task.items():
            if not history.needs_trial:
                continue
            run = self.find_run(name)
            if run is None or run.phase is Phase.DONE:
                continue
            waited_s = now - run.waiting_since
            if run.phase is not Phase.WAITING or waited_s <= MAX_TRIAL_WAIT_S:
                return True
        return False

    def starts_suspected_task(self) -> bool:
        """Whether a suspected task has a run that hasn't settled yet."""
        suspected = map(self.find_run, self.crash_history_by_task)
        return any(run and run.occupies_capacity for run in suspected)

    def ready_steps(self, unix_now: float) -> list[tuple[int, int]]:
        """Return (occurrence, step index) of each step that may start.

        A step may start once its occurrence is due and all tasks of the
        steps that it depends on are done.
        """
        ready = []
        for key, unfinished in self.unfinished_by_step.items():
            if not unfinished:
                continue
            occurrence, index = key
            if self.job.repeats and self.job.due_at(occurrence) > unix_now:
                continue
            if all(
                not self.unfinished_by_step[occurrence, dependency]
                for dependency in self.job.steps[index].after
            ):
                ready.append(key)
        return ready

    def mark_task_done(self, run: Run) -> None:
        """Mark a task as done, and with it all other members of a gang."""
        key = run.name.occurrence, run.name.step
        members = self.runs_by_step[key]
        if not run.step.gang:
            members = [members[run.name.index]]
        for member in members:
            if member.phase is not Phase.DONE:
                member.finish()
                self.record_task_done(key)

    @property
    def complete(self) -> bool:
        """Whether every task is done."""
        return not any(self.unfinished_by_step.values())
