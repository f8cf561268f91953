"""Workers' reports and the commands that they take."""

import dataclasses
from typing import TypeAlias

from azurevane._internal.models import task as task_models


@dataclasses.dataclass(frozen=True, slots=True)
class RunningReport:
    """A task that a worker runs.

    Attributes:
        used: measured use, which lags; None if not measured yet.
        lease_left_s: seconds until the worker stops it by itself.
    """

    task_id: str
    attempt: int
    epoch: int
    lease_left_s: float
    used: task_models.Need | None


@dataclasses.dataclass(frozen=True, slots=True)
class EndedReport:
    """A task that has ended on a worker.

    Attributes:
        outcome: ``finished``, ``failed``, ``checkpointed`` or
            ``cancelled``.
    """

    task_id: str
    attempt: int
    outcome: str
    remaining_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker says that it runs and has ended.

    Attributes:
        sequence: grows with each report; tells a new report from the
            platform's copy of an old one.
        epoch: highest epoch that it has seen.
    """

    worker: str
    sequence: int
    epoch: int
    running: tuple[RunningReport, ...]
    ended: tuple[EndedReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Starts an attempt of a task; repeats do no harm.

    Attributes:
        run_s: declared run time that is left.
        reasons: why this worker, for the log.
    """

    worker: str
    pool: str
    epoch: int
    task: task_models.Task
    lease_s: float
    run_s: float
    reasons: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Stops an attempt: at a checkpoint, or for good when cancelled."""

    worker: str
    pool: str
    epoch: int
    task_id: str
    attempt: int
    checkpoint: bool
    reasons: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetEnded:
    """Lets a worker drop ended attempts whose outcome is recorded."""

    worker: str
    attempt_by_task: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class FenceWorker:
    """Makes a worker refuse lower epochs, and other pools."""

    worker: str
    pool: str
    epoch: int
    assignment: int


Command: TypeAlias = StartTask | StopTask | ForgetEnded | FenceWorker
