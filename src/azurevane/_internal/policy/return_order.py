"""Decides when a refused caller should come back.

Answers bursts in which more callers are refused than capacity frees up a
second. If they all came back at once they would mostly be refused again, so
their returns are spread over the time in which capacity frees up. Callers
that were refused before, and those with more work to lose, may use the whole
of it; the others leave a part free for them.
"""

from collections.abc import Mapping
import dataclasses
import enum
import math

# Part of the capacity that frees up which callers with less to lose may be
# told to use; the rest is for the oldest and dearest.
ORDINARY_FRACTION = 0.7
# A caller isn't told to wait longer than this: what is known of the queue
# says nothing about so late a time.
MAX_RETRY_AFTER_S = 30


class ReturnReason(enum.Enum):
    """What a return time stands for; the values are logged."""

    CAPACITY_FREES = "capacity frees up"
    QUEUE_NORMAL = "queue expected to be normal"


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedJob:
    """What decides on the return of a refused job.

    Attributes:
        cpu_work: thousandths of a core times seconds.
        useful_for_s: time from now within which its return is of use.
        preferred: whether it was refused before or is a dear one.
    """

    cpu_work: float
    useful_for_s: float
    preferred: bool


@dataclasses.dataclass(frozen=True, slots=True)
class QueueOutlook:
    """When a queue will have room for refused callers.

    Attributes:
        frees_in_s: time until a job may be accepted again.
        freed_cpu: capacity that this host's refused callers may use from
            then on, in thousandths of a core.
        normal_in_s: time until a new job ends in time again.
    """

    frees_in_s: float
    freed_cpu: float
    normal_in_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnPlan:
    """When a caller should come back, in whole seconds."""

    retry_after_s: int
    reason: ReturnReason


def plan_return(
    job: RefusedJob,
    outlook: QueueOutlook,
    promised_by_second: Mapping[int, float],
    now: float,
) -> ReturnPlan:
    """Return when a refused caller should come back.

    Args:
        promised_by_second: work of callers of this queue that this host has
            told to come back, by the whole second of their return.
    """
    first = _whole_seconds(outlook.frees_in_s)
    last = min(math.floor(max(job.useful_for_s, 0.0)), MAX_RETRY_AFTER_S)
    for after_s in range(first, last + 1):
        if _has_room(job, outlook, promised_by_second, now + after_s):
            return ReturnPlan(after_s, ReturnReason.CAPACITY_FREES)
    first = max(_whole_seconds(outlook.normal_in_s), first)
    for after_s in range(first, MAX_RETRY_AFTER_S):
        if _has_room(job, outlook, promised_by_second, now + after_s):
            return ReturnPlan(after_s, ReturnReason.QUEUE_NORMAL)
    return ReturnPlan(MAX_RETRY_AFTER_S, ReturnReason.QUEUE_NORMAL)


def _whole_seconds(seconds: float) -> int:
    if seconds >= MAX_RETRY_AFTER_S:
        return MAX_RETRY_AFTER_S
    return max(math.ceil(seconds), 1)


def _has_room(
    job: RefusedJob,
    outlook: QueueOutlook,
    promised_by_second: Mapping[int, float],
    at: float,
) -> bool:
    promised = promised_by_second.get(math.floor(at), 0.0)
    if not promised:
        # A job larger than what frees up in a second must come back too.
        return True
    fraction = 1.0 if job.preferred else ORDINARY_FRACTION
    return promised + job.cpu_work <= fraction * outlook.freed_cpu
