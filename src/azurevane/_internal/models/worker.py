"""Reports of workers and commands to them."""

import dataclasses
from typing import TypeAlias

from azurevane._internal.models import task as task_models


@dataclasses.dataclass(frozen=True, slots=True)
class RunningReport:
    """A task that a worker runs.

    Attributes:
        lease_left_s: seconds until the worker stops the task unless its
            lease is renewed.
        used: measured resource usage, which lags behind; None if there is
            no measurement yet.
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
        remaining_s: run time left after the checkpoint, in seconds.
    """

    task_id: str
    attempt: int
    outcome: str
    remaining_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """The running and the ended tasks of a worker.

    Attributes:
        sequence: increases with each report; distinguishes a new report
            from the platform's copy of an old one.
        epoch: highest controller epoch that the worker has seen.
        ended: attempts that the worker hasn't been told to forget.
    """

    worker: str
    sequence: int
    epoch: int
    running: tuple[RunningReport, ...]
    ended: tuple[EndedReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Starts an attempt of a task; idempotent.

    Attributes:
        lease_s: seconds after which the worker stops the task unless its
            lease is renewed.
        run_s: declared run time that is left, in seconds.
        reasons: why this worker was chosen, for the log.
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
    """Stops an attempt.

    Attributes:
        checkpoint: whether to stop at a checkpoint, from which the task
            can resume; otherwise it is cancelled.
        reasons: why it is stopped, for the log.
    """

    worker: str
    pool: str
    epoch: int
    task_id: str
    attempt: int
    checkpoint: bool
    reasons: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetEnded:
    """Tells a worker to drop ended attempts whose outcome is stored."""

    worker: str
    attempt_by_task: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class FenceWorker:
    """Makes a worker refuse commands of lower epochs and of other pools.

    Attributes:
        assignment: number of the host record that assigns the worker to
            the pool; 0 if only the manifest does.
    """

    worker: str
    pool: str
    epoch: int
    assignment: int


Command: TypeAlias = StartTask | StopTask | ForgetEnded | FenceWorker
