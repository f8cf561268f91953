"""What passes between the scheduler and a runner."""

import dataclasses
import enum

from azurevane._internal.models import job as job_models


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Order to start a run of a task.

    Attributes:
        attempt: number of the run, above that of every earlier one.
        ticket: permission of the queue's advisor, or empty.
    """

    task: job_models.TaskName
    attempt: int
    spec: str
    checkpoint: str
    ticket: str = ""


class StartOutcome(enum.Enum):
    """What became of an order to start a task."""

    STARTED = "started"
    FENCED = "fenced"
    OLD_ATTEMPT = "old attempt"
    LEASE_EXPIRED = "lease in the past"
    NO_CAPACITY = "no room"
    BAD_TICKET = "ticket not valid"
    UNHEALTHY = "runner unhealthy"
    RUNNER_MISMATCH = "another runner answered"
    INVALID = "order invalid"
    NOT_SENT = "not sent"
    UNKNOWN = "no answer"


class EndReason(enum.Enum):
    """Why a run ended, by its runner."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that a runner lists as present.

    Attributes:
        percent: progress; of a long-running task, 100 while at work.
        load: a serving task's tail latency in milliseconds, otherwise
            the processors in use, in thousandths of a core.
    """

    task: job_models.TaskName
    attempt: int
    checkpoint: str
    percent: int
    load: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTask:
    """A run that ended.

    Attributes:
        number: place in the runner's list, from 1 in each life.
    """

    number: int
    task: job_models.TaskName
    attempt: int
    reason: EndReason
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerReport:
    """A runner's lists and its clock.

    Attributes:
        started_at: Unix time in seconds of the runner's start; None
            where the runner doesn't say.
        last_number: highest number in the list of ends, also of entries
            that can't be read.
    """

    clock_s: float
    started_at: float | None
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    last_number: int
