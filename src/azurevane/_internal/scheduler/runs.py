"""State of jobs and of their tasks' runs."""

from collections.abc import Iterator
import enum

from azurevane._internal.models import job as job_models


class Phase(enum.IntEnum):
    """Where a task is between its submission and its end."""

    WAITING = 0
    # The order to start may have been sent.
    ASSIGNED = 1
    RUNNING = 2
    STOPPING = 3
    DONE = 4


class JobStatus(enum.Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def ended(self) -> bool:
        """Whether the job stays in this state."""
        return self in _ENDED


_ENDED = {JobStatus.COMPLETED, JobStatus.FAILED, JobStatus.CANCELLED}
_PRESENT = (Phase.ASSIGNED, Phase.RUNNING, Phase.STOPPING)


class Run:
    """A task and its current or last run; times are steady seconds.

    Attributes:
        runner_id: runner of the current run, empty while there is none.
        failed_attempts: attempts that ended as failed.
        failed_on: runners on which it did or stood still, as far as this
            leader knows.
        progress_at: when the current run was last seen to progress.
        inherited: whether an earlier leader ordered the run, whose orders
            its runner rejects once it knows this leader.
        sent_at: when the order to start was last sent; 0 if it wasn't.
        acknowledged_at: when the runner confirmed the start; 0 before.
        doubtful_since: when the order went unanswered; 0 if it didn't.
        stop_acknowledged_at: when the runner took the order to stop.
        stop_sent_at: when the order to stop was last sent.
        not_before: earliest time of the next start.
        absent_since: since when a long-running task isn't at work.
    """

    __slots__ = (
        "acknowledged_at",
        "attempt",
        "checkpoint",
        "failed_attempts",
        "failed_on",
        "inherited",
        "job",
        "load",
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
        self.runner_id = ""
        self.failed_attempts: set[int] = set()
        self.failed_on: set[str] = set()
        self.inherited = False
        self.checkpoint = ""
        self.not_before = 0.0
        self.not_serving_since = now
        self._reset_run_fields()

    def _reset_run_fields(self) -> None:
        """Know nothing of the current run yet."""
        self.percent = 0
        self.progress_at = 0.0
        self.load = 0.0
        self.pace = 100
        self.sent_at = 0.0
        self.acknowledged_at = 0.0
        self.unconfirmed_since = 0.0
        self.stop_acknowledged_at = 0.0
        self.stop_sent_at = 0.0

    @property
    def occupies_capacity(self) -> bool:
        """Whether it may take room on its runner."""
        return self.phase in _PRESENT

    @property
    def serving(self) -> bool:
        """Whether a long-running task serves."""
        return self.phase is Phase.RUNNING and self.percent >= 100

    def assign(self, runner_id: str, attempt: int) -> None:
        """Choose a runner for the next run."""
        if self.phase is Phase.WAITING:
            self.job.waiting_count -= 1
        self.phase = Phase.ASSIGNED
        self.inherited = False
        self.runner_id = runner_id
        self.attempt = attempt
        self._reset_run_fields()

    def release(self, now: float, not_before: float = 0.0) -> None:
        """Wait for another run."""
        if self.serving:
            self.not_serving_since = now
        if self.phase is not Phase.WAITING:
            self.job.waiting_count += 1
        self.phase = Phase.WAITING
        self.inherited = False
        self.runner_id = ""
        self.not_before = not_before
        self.unconfirmed_since = 0.0

    def finish(self) -> None:
        """Record that the task is done."""
        if self.phase is Phase.WAITING:
            self.job.waiting_count -= 1
        self.phase = Phase.DONE
        self.runner_id = ""


class JobState:
    """A job, the runs of its tasks and what callers see of it.

    Attributes:
        arrived_at: steady time at which the caller handed it in.
        objective_at: steady time by which its callers want it done.
        waiting: number of its tasks that wait for a run.
        beyond_share: whether its team had sent more than it is owed.
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
        self.waiting_count = 0
        self.beyond_share = False
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

    @property
    def started(self) -> bool:
        """Whether a task of it was ever ordered."""
        return self.status is not JobStatus.QUEUED

    @property
    def long_running(self) -> bool:
        """Whether it runs until it is cancelled."""
        return any(step.long_running for step in self.job.steps)

    def all_runs(self) -> Iterator[Run]:
        """Iterate over all tasks."""
        for runs in self.runs_by_step.values():
            yield from runs

    def runs_occupying_capacity(self) -> list[Run]:
        """Return the tasks that may be on a runner."""
        return [run for run in self.all_runs() if run.occupies_capacity]

    def find_run(self, name: job_models.TaskName) -> Run | None:
        """Return a task by name, or None if the job has no such task."""
        runs = self.runs_by_step.get((name.occurrence, name.step))
        if runs is None or name.index >= len(runs):
            return None
        return runs[name.index]

    def ready_steps(self, unix_now: float) -> list[tuple[int, int]]:
        """Return occurrence and index of the steps whose turn has come."""
        ready = []
        for key, undone in self.unfinished_by_step.items():
            if not undone:
                continue
            occurrence, index = key
            if self.job.repeats and self.job.due_at(occurrence) > unix_now:
                continue
            if all(
                not self.unfinished_by_step[occurrence, earlier]
                for earlier in self.job.steps[index].after
            ):
                ready.append(key)
        return ready

    def mark_task_done(self, run: Run) -> None:
        """Record a task's end as done; a gang ends as one."""
        key = run.name.occurrence, run.name.step
        members = self.runs_by_step[key] if run.step.gang else [run]
        for member in members:
            if member.phase is not Phase.DONE:
                member.finish()
                self.unfinished_by_step[key] -= 1

    @property
    def complete(self) -> bool:
        """Whether every task is done."""
        return not any(self.unfinished_by_step.values())
