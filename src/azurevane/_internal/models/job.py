"""Jobs as callers submit them, and the names of their tasks."""

import dataclasses

# Largest number of tasks of a job, over all occurrences. The row of its state
# has room for so many, and a host holds each of them in memory.
MAX_TASKS_PER_JOB = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Processors, memory and accelerators: offered, requested or in use.

    Attributes:
        cpu: thousandths of a core.
        memory: megabytes.
        gpu: whole accelerators.
    """

    cpu: int = 0
    memory: int = 0
    gpu: int = 0

    def covers(self, need: "Capacity") -> bool:
        """Whether this is at least as large as a need in every part."""
        return (
            self.cpu >= need.cpu
            and self.memory >= need.memory
            and self.gpu >= need.gpu
        )

    def __add__(self, other: "Capacity") -> "Capacity":
        return Capacity(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.gpu + other.gpu,
        )

    def __sub__(self, other: "Capacity") -> "Capacity":
        return Capacity(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.gpu - other.gpu,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Tasks with the same requirements that a job starts together.

    Attributes:
        count: number of tasks.
        need: capacity that one task reserves on its runner.
        estimate_s: estimated run time of one task.
        after: indexes of the steps that must have completed first.
        checkpointing: whether its tasks can resume from a checkpoint.
        gang: whether its tasks make progress only while all of them run.
        same_rack: whether its tasks are slow when spread over racks.
        required_label: label that its runners must have, or empty.
        data_rack: rack that holds its data, or empty.
        max_per_runner: maximum number of tasks of one occurrence on a
            runner; 0 for no maximum.
        speculative: whether copies of a task may run side by side.
        long_running: whether its tasks run until the job is cancelled.
        image: name of the image that its tasks run; tasks of the same
            image behave alike.
        latency_target_s: bound on a serving task's tail latency, or 0.
        fills: whether its processors aren't deducted from the free
            capacity of its runners.
        max_unavailable: maximum number of tasks of a long-running step
            that this system may make unavailable at once; None for no
            maximum.
    """

    count: int
    need: Capacity
    estimate_s: float
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_runner: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    latency_target_s: float = 0.0
    fills: bool = False
    max_unavailable: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """An accepted job.

    Attributes:
        id: 16 hexadecimal digits chosen by the caller.
        queue: name of the queue that it was submitted to.
        service: service whose runners served the queue when the job was
            accepted.
        team: team of its API key; empty in a queue that is open to all.
        spec: text that is passed to every task.
        accepted_at: Unix time in seconds, by the accepting host's clock.
        repeats: number of occurrences; 0 for a job that runs once.
        first_due_at: Unix time in seconds of the first occurrence.
        interval_s: time between the due times of two occurrences.
        priority: 0 is the highest priority.
        attempts: number of failed runs of a task after which the job has
            failed.
        objective_s: latency objective: time within which it should
            complete.
        advised: whether its placements need the advisor's permission.
        accepted_by: name of the entry host that accepted it; empty unless
            the hosts divide what may be accepted.
    """

    id: str
    queue: str
    service: str
    team: str
    spec: str
    steps: tuple[Step, ...]
    accepted_at: float
    repeats: int = 0
    first_due_at: float = 0.0
    interval_s: float = 0.0
    priority: int = 0
    attempts: int = 1
    objective_s: float = 0.0
    advised: bool = False
    accepted_by: str = ""

    @property
    def task_count(self) -> int:
        """Number of tasks of all occurrences."""
        return self.occurrences * sum(step.count for step in self.steps)

    @property
    def occurrences(self) -> int:
        """Number of times that its steps run."""
        return max(self.repeats, 1)

    def due_at(self, occurrence: int) -> float:
        """Return the Unix time at which an occurrence may start."""
        if not self.repeats:
            return 0.0
        return self.first_due_at + occurrence * self.interval_s


@dataclasses.dataclass(frozen=True, slots=True)
class TaskName:
    """Identifies a task; written as JOB_ID.OCCURRENCE.STEP.INDEX."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @property
    def step_name(self) -> str:
        """Name of the task's step, as the advisor knows it."""
        return f"{self.job_id}.{self.occurrence}.{self.step}"

    @classmethod
    def parse(cls, text: str) -> "TaskName | None":
        """Return the name that a runner reported, or None if malformed."""
        parts = text.split(".")
        if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
            return None
        occurrence, step, index = map(int, parts[1:])
        return cls(parts[0], occurrence, step, index)
