"""Tasks: long jobs that workers run under leases."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Task:
    """A task as submitted, and how far it is.

    Attributes:
        run_s: declared run time in seconds; may be far from the truth.
        at_most_once: whether an unknown outcome forbids a new start.
        phase: ``queued``, ``running``, ``finished``, ``failed``,
            ``cancelled`` or ``unknown``.
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
    phase: str = "queued"
    worker: str = ""
    attempts: int = 0
    detail: str = ""
