"""Decides whether a job is accepted, from the leader's estimate.

Answers bursts that exceed what a pool can process while its jobs are of use.
Jobs are served in the order of ``job_order``: those that can end in time
first, and those that are too late to be of use last. So capacity up to a time
is taken by the jobs that must start before that time, as far as it can
process them; the rest of them drop back. A new job has room if that leaves
capacity before its own last start. If there is none, neither before its last
start to be in time nor before its last start to be of use, accepting it only
makes another job useless, and its caller would learn of it by waiting.

A wrong refusal costs a caller the job, a wrong acceptance only delays others.
So a job is accepted without an estimate or with an old one, capacity that
could come counts as coming, and work that other hosts accepted since counts
only through the division of the room.
"""

import dataclasses
import enum
import math
import zlib

from msgspec import structs

from azurevane._internal.models import admission
from azurevane._internal.models import job as job_models
from azurevane._internal.policy import job_order

# An estimate older than this decides nothing. The leader renews it every
# 0.6 s; a host on a weak link reads it about every 1.4 s, and its age is
# counted from the read before.
MAX_ESTIMATE_AGE_S = 2.5
# Part of what may be accepted that is kept for hosts that aren't listed, in
# thousandths: a host is listed soon after it has accepted a job.
RESERVE_PERMILLE = 100
# Hosts that aren't listed share the reserve by a hash of their name. With
# this many slots two of a few such hosts rarely have the same one.
RESERVE_SLOTS = 8
# Each host keeps to its part once less than this share of what the pool can
# process before a new job's last start in time is left. Above it a host whose
# callers are many by chance would refuse some although there is room.
PRESSED_FRACTION = 0.5
# Offsets of successive estimates are multiples of this, so that what remains
# after whole jobs goes to other hosts each time.
_GOLDEN_RATIO = 0.6180339887498949


class Reason(enum.Enum):
    """Why a job was accepted or refused; the values are logged."""

    NOT_SUBJECT = "never refused"
    NO_ESTIMATE = "no estimate"
    OLD_ESTIMATE = "old estimate"
    NO_BACKLOG = "no backlog"
    IN_TIME = "can end in time"
    OF_USE = "can end while it is of use"
    CAME_BACK = "came back as told"
    NO_ROOM = "can't end in time to be of use"
    BEYOND_SHARE = "team beyond its share while others wait"
    PART_SPENT = "this host's part of the remaining room is used up"


@dataclasses.dataclass(frozen=True, slots=True)
class JobSize:
    """What a job needs.

    Attributes:
        work: processors and memory times seconds.
        chain_s: run time of its longest chain of steps.
        objective_s: time in which it should end.
    """

    work: admission.Amount
    chain_s: float
    objective_s: float

    @property
    def slack_s(self) -> float:
        """Time that it may wait and still end in time."""
        return self.objective_s - self.chain_s

    @property
    def useful_slack_s(self) -> float:
        """Time that it may wait and still be of use."""
        useful_s = job_order.USELESS_AFTER_OBJECTIVES * self.objective_s
        return useful_s - self.chain_s


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """What the deciding host knows besides the estimate.

    Attributes:
        accepted: work that it accepted for the queue since the estimate.
        part: processor work that it may accept by the estimate.
        beyond_share: whether the job's team is beyond its share.
        came_back: whether the job was refused before.
    """

    accepted: admission.Amount
    part: float
    beyond_share: bool = False
    came_back: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A decision with the figures that it is based on, for the log.

    Attributes:
        room: processor work that fits before the job's last start; 0 or less
            if there is none.
    """

    accepted: bool
    reason: Reason
    room: float = 0.0


def measure_job(job: job_models.Job) -> JobSize:
    """Return what a job needs by its declared run times."""
    cpu = memory = 0.0
    for step in job.steps:
        task_s = step.count * step.estimate_s
        cpu += 0.0 if step.fills else task_s * step.need.cpu
        memory += task_s * step.need.memory
    return JobSize(
        admission.Amount(cpu, memory),
        job_order.critical_path_s(job.steps),
        job.objective_s,
    )


def may_refuse(job: job_models.Job) -> bool:
    """Whether a job is of a kind that is ever refused.

    Long-running jobs are owed whenever capacity frees up, and jobs with due
    times wait for those.
    """
    return not job.repeats and not any(step.long_running for step in job.steps)


def decide(
    size: JobSize,
    estimate: admission.QueueEstimate,
    age_s: float,
    position: Position,
) -> Decision:
    """Decide on a job of a queue with a backlog.

    Args:
        age_s: greatest age of the estimate.
    """
    if age_s > MAX_ESTIMATE_AGE_S:
        return Decision(True, Reason.OLD_ESTIMATE)
    if not estimate.any_capacity:
        # The leader sees no capacity, so it can't say when there will be.
        return Decision(True, Reason.NO_ESTIMATE)
    beyond = position.beyond_share
    accepted = position.accepted.cpu
    in_time = find_room(estimate, size, age_s, useful=False, beyond=beyond)
    useful = find_room(estimate, size, age_s, useful=True, beyond=beyond)
    room = max(in_time, useful) - accepted
    if room <= 0:
        reason = Reason.BEYOND_SHARE if beyond else Reason.NO_ROOM
        return Decision(False, reason, room)
    if position.came_back:
        return Decision(True, Reason.CAME_BACK, room)
    if estimate.pressed and accepted >= position.part:
        return Decision(False, Reason.PART_SPENT, room)
    reason = Reason.IN_TIME if in_time > accepted else Reason.OF_USE
    return Decision(True, reason, room)


def find_room(
    estimate: admission.QueueEstimate,
    size: JobSize,
    age_s: float,
    *,
    useful: bool,
    beyond: bool = False,
) -> float:
    """Return the processor work that fits before a job's last start.

    Args:
        age_s: age of the estimate when the job arrives.
        useful: whether the last start to be of use counts, rather than the
            last one to be in time.
        beyond: whether the job is beyond its team's share.
    """
    by_s = age_s + (size.useful_slack_s if useful else size.slack_s)
    if by_s <= 0:
        return 0.0
    processed = estimate.processed_by(by_s)
    own = estimate.useful if useful else estimate.in_time
    booked = _booked_by(estimate, own, by_s)
    if beyond:
        # All jobs within their shares are served before it.
        others = estimate.excess_useful if useful else estimate.excess_in_time
        booked = _booked_by(estimate, estimate.useful, math.inf).plus(
            _booked_by(estimate, others, by_s)
        )
    if processed.memory and booked.memory >= processed.memory:
        return 0.0
    return max(processed.cpu - booked.cpu, 0.0)


def _booked_by(
    estimate: admission.QueueEstimate,
    deadlines: admission.Deadlines,
    by_s: float,
) -> admission.Amount:
    """Return the work that is processed of what must start before a time.

    What exceeds the capacity before its own last start is not processed then.
    """
    cpu = memory = low_s = 0.0
    edges = zip(admission.START_BY_EDGES_S, deadlines, strict=False)
    for edge_s, amount in edges:
        if low_s >= by_s:
            break
        # Of the last stretch only the part before the time counts.
        end_s = min(edge_s, by_s)
        part = (end_s - low_s) / (edge_s - low_s) if edge_s > end_s else 1.0
        cpu += amount.cpu * part
        memory += amount.memory * part
        if end_s < math.inf:
            processed = estimate.processed_by(end_s)
            cpu = min(cpu, processed.cpu)
            memory = min(memory, processed.memory)
        low_s = end_s
    return admission.Amount(cpu, memory)


def booked_work(
    estimate: admission.QueueEstimate, *, beyond: bool
) -> admission.Amount:
    """Return the work that is processed before the queue is normal."""
    booked = _booked_by(estimate, estimate.useful, math.inf)
    if not beyond:
        return booked
    return booked.plus(_booked_by(estimate, estimate.excess_useful, math.inf))


def drained_after_s(
    estimate: admission.QueueEstimate, work: admission.Amount
) -> float:
    """Return when work has been processed at the earliest, in seconds."""
    if work.cpu <= 0:
        return 0.0
    rates = [
        (0.0, estimate.ready.cpu),
        (estimate.coming_in_s, estimate.coming.cpu),
        (estimate.reserve_in_s, estimate.reserve.cpu),
    ]
    now, rate, left = 0.0, 0.0, work.cpu
    for at, more in sorted(rates):
        if rate > 0 and left <= rate * (at - now):
            return now + left / rate
        left -= rate * (at - now)
        now, rate = at, rate + more
    return now + left / rate if rate > 0 else math.inf


def add_room(
    estimate: admission.QueueEstimate, typical: JobSize, interval_s: float
) -> admission.QueueEstimate:
    """Return an estimate with the room until the next one.

    Args:
        typical: size of a typical job of the queue.
        interval_s: time until the next estimate.
    """
    in_time = find_room(estimate, typical, interval_s, useful=False)
    useful = find_room(estimate, typical, interval_s, useful=True)
    processed = estimate.processed_by(typical.slack_s + interval_s)
    return structs.replace(
        estimate,
        room=round(max(in_time, useful)),
        pressed=in_time < PRESSED_FRACTION * processed.cpu,
    )


def find_part(
    estimate: admission.AdmissionEstimate,
    queue: admission.QueueEstimate,
    host: str,
) -> float:
    """Return the processor work that a host may accept by an estimate.

    The room is divided in whole jobs of the typical size, in proportion to
    the hosts' shares. All hosts compute the same division, so that no job's
    room is in two parts. Hosts that aren't listed get slots of the reserve.
    """
    if queue.unit <= 0:
        return queue.room
    units = math.floor(queue.room / queue.unit)
    offset = (_GOLDEN_RATIO * (estimate.number + estimate.token)) % 1.0
    low = 0
    for share in estimate.shares:
        high = low + share.permille
        if share.host == host:
            return _units_between(low, high, units, offset) * queue.unit
        low = high
    slot = (zlib.crc32(host.encode()) + estimate.number) % RESERVE_SLOTS
    width = (1000 - low) / RESERVE_SLOTS
    first = low + slot * width
    return _units_between(first, first + width, units, offset) * queue.unit


def _units_between(low: float, high: float, units: int, offset: float) -> int:
    """Return the whole units between two thousandths of all units."""
    return math.floor(high / 1000 * units + offset) - math.floor(
        low / 1000 * units + offset
    )


def divide_shares(
    job_count_by_host: dict[str, int],
) -> tuple[admission.HostShare, ...]:
    """Return the shares of hosts that accepted jobs recently.

    Each gets a share even for a single job; the rest is in proportion to the
    jobs, since the load balancer's hash gives some hosts more callers.
    """
    total = sum(count + 1 for count in job_count_by_host.values())
    return tuple(
        admission.HostShare(
            host, (1000 - RESERVE_PERMILLE) * (count + 1) // total
        )
        for host, count in sorted(job_count_by_host.items())
    )
