"""Tasks: long-running work that workers run under leases."""

import dataclasses

LIVE_PHASES = frozenset(("queued", "running"))


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """An amount of cores, memory and accelerators: a size or a capacity."""

    cores: float
    memory_gb: float
    accelerators: float = 0.0

    def plus(self, other: "Need") -> "Need":
        """Return the sum."""
        return Need(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Need") -> "Need":
        """Return the difference; components may be negative."""
        return Need(
            self.cores - other.cores,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def covers(self, other: "Need") -> bool:
        """Whether every component is at least that of the other."""
        return (
            self.cores >= other.cores
            and self.memory_gb >= other.memory_gb
            and self.accelerators >= other.accelerators
        )


@dataclasses.dataclass(frozen=True)
class Task:
    """A task as submitted, with its progress.

    Attributes:
        kind: tasks of one team and kind are assumed to be of similar
            size; sizes are estimated per team and kind.
        run_s: declared run time in seconds; may be far from the actual
            one.
        at_most_once: whether the task must not be started again after an
            unknown outcome.
        submitted_at: Unix time in seconds by the entry host's clock;
            orders the tasks of a team.
        payload: what the worker runs; opaque here.
        phase: ``queued``, ``running``, ``finished``, ``failed``,
            ``cancelled`` or ``unknown``.
        attempts: number of starts so far, and of the current attempt.
        failed_workers: workers on which it failed.
        remaining_s: run time left after the last checkpoint, as reported
            by the worker; negative if there was no checkpoint.
        detail: reason of the last change of phase, shown to callers.
        token: token of the record's last write.
    """

    task_id: str
    queue: str
    team: str
    run_s: float
    cores: float = 1.0
    memory_gb: float = 1.0
    accelerators: int = 0
    urgent: bool = False
    at_most_once: bool = False
    kind: str = ""
    submitted_at: float = 0.0
    payload: str = ""
    phase: str = "queued"
    worker: str = ""
    attempts: int = 0
    failed_workers: tuple[str, ...] = ()
    remaining_s: float = -1.0
    detail: str = ""
    token: str = ""

    @property
    def declared(self) -> Need:
        """Size as declared."""
        return Need(self.cores, self.memory_gb, self.accelerators)


def task_row(queue: str, task_id: str) -> str:
    """Return the name of a live task's row."""
    return f"task/{queue}/{task_id}"


def ended_row(queue: str, task_id: str) -> str:
    """Return the name of an ended task's row."""
    return f"ended/{queue}/{task_id}"


def inbox_row(pool: str, task_id: str, kind: str) -> str:
    """Return the name of the row that notifies a pool's controller.

    Args:
        kind: ``submit`` or ``cancel``.
    """
    return f"inbox/{pool}/{kind}/{task_id}"
