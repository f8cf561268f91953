"""Commands to runners, their outcomes and the reports of runners."""

import dataclasses
import enum

from azurevane._internal.models import job as job_models


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Command to start a run of a task.

    Attributes:
        attempt: number of the run; greater than that of every previous
            run of the task.
        ticket: ticket of the queue's advisor, or empty.
    """

    task: job_models.TaskName
    attempt: int
    spec: str
    checkpoint: str
    ticket: str = ""


class StartOutcome(enum.Enum):
    """Outcome of a command to start a task.

    The values are logged and label a metric, so they don't change.
    """

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
    """Why a run ended, as reported by its runner."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that a runner lists as running.

    Attributes:
        percent: progress; 100 for a long-running task while it serves.
        load: for a serving task its tail latency in milliseconds,
            otherwise the processors in use in thousandths of a core.
    """

    task: job_models.TaskName
    attempt: int
    checkpoint: str
    percent: int
    load: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTask:
    """A run that a runner lists as ended.

    Attributes:
        number: sequence number; starts from 1 in each incarnation of the
            runner.
    """

    number: int
    task: job_models.TaskName
    attempt: int
    reason: EndReason
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerReport:
    """A runner's lists of runs and its clock.

    Attributes:
        clock_s: the runner's monotonic clock when it answered.
        started_at: Unix time in seconds of the runner's start; None if
            the runner doesn't report it.
        last_number: highest number in the list of ended runs, including
            entries that can't be decoded.
        complete: whether the lists name all runs that run and all ended
            ones that aren't acknowledged. A runner lists only so many ends
            at a time, and an entry may be malformed.
    """

    clock_s: float
    started_at: float | None
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    last_number: int
    complete: bool = True
