"""Tasks: long jobs that workers run under leases."""

import dataclasses

LIVE_PHASES = frozenset(("queued", "running"))


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Processors, memory and accelerators, needed or free."""

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
        """Return the difference; parts may be below zero."""
        return Need(
            self.cores - other.cores,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def covers(self, other: "Need") -> bool:
        """Whether a need fits into this one."""
        return (
            self.cores >= other.cores
            and self.memory_gb >= other.memory_gb
            and self.accelerators >= other.accelerators
        )


@dataclasses.dataclass(frozen=True)
class Task:
    """A task as submitted, and how far it is.

    Attributes:
        kind: tasks of one team and kind are alike in size; sizes are
            learned per team and kind.
        run_s: declared run time in seconds; may be far from the truth.
        at_most_once: whether an unknown outcome forbids a new start.
        submitted_at: seconds since the epoch, by the entry host's clock;
            orders the tasks of a team.
        payload: what the worker runs; opaque here.
        phase: ``queued``, ``running``, ``finished``, ``failed``,
            ``cancelled`` or ``unknown``.
        attempts: starts so far; numbers the start in force.
        failed_workers: workers on which it failed.
        remaining_s: run time left after the last checkpoint, as the
            worker reported it; below zero if it never was checkpointed.
        token: of the last write of the record.
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
        """Declared size."""
        return Need(self.cores, self.memory_gb, self.accelerators)


def task_row(queue: str, task_id: str) -> str:
    """Return the name of the row of a live task."""
    return f"task/{queue}/{task_id}"


def ended_row(queue: str, task_id: str) -> str:
    """Return the name of the row of a task that has ended."""
    return f"ended/{queue}/{task_id}"


def inbox_row(pool: str, task_id: str, kind: str) -> str:
    """Return the name of the row that tells a controller of a change.

    Args:
        kind: ``submit`` or ``cancel``.
    """
    return f"inbox/{pool}/{kind}/{task_id}"
