"""What the leader publishes for the entry hosts' admission of jobs.

Processor work is in thousandths of a core-second per second of capacity, so
it is thousandths of a core times seconds; memory work is megabytes times
seconds. The structures are encoded as arrays, since every renewal of the
leader carries them.
"""

from collections.abc import Sequence

import msgspec

from azurevane._internal.utils import json_decoding

# Raised when the meaning of a field changes; hosts ignore other versions.
VERSION = 1
# Work is published by the time that is left until its last start. The steps
# are finer at the short end, where the slack of most jobs lies.
START_BY_EDGES_S = (
    *(0.2 * number for number in range(1, 11)),
    *(2.0 + 0.5 * number for number in range(1, 9)),
    *(6.0 + 1.0 * number for number in range(1, 7)),
    16.0,
    24.0,
    float("inf"),
)


class Amount(msgspec.Struct, array_like=True, frozen=True):
    """Processors and memory: a capacity, or work if times seconds."""

    cpu: float = 0.0
    memory: float = 0.0

    def plus(self, other: "Amount") -> "Amount":
        """Return the sum of two amounts."""
        return Amount(self.cpu + other.cpu, self.memory + other.memory)

    def times(self, factor: float) -> "Amount":
        """Return the amount multiplied by a factor."""
        return Amount(self.cpu * factor, self.memory * factor)

    def rounded(self) -> "Amount":
        """Return the amount in whole units, which are short to encode."""
        return Amount(round(self.cpu), round(self.memory))


# Work by the index of its edge in START_BY_EDGES_S, without trailing zeros.
Deadlines = tuple[Amount, ...]


class QueueEstimate(msgspec.Struct, array_like=True, frozen=True):
    """Work before a new job of a queue and the capacity to process it.

    Attributes:
        ready: capacity of the runners that take the queue's tasks, less what
            long-running tasks use.
        coming: capacity of the hosts that are on their way to the pool.
        coming_in_s: when that capacity is ready, from the estimate on.
        reserve: the queue's part of the capacity of standby and idle hosts.
        reserve_in_s: when that could be ready.
        in_time: work of jobs that can meet their objective, by the last
            start for that.
        useful: work of jobs that can end while they are of use, by the last
            start for that. Includes ``in_time``.
        excess_in_time: as ``in_time``, of jobs beyond their teams' shares,
            which the others don't include.
        excess_useful: as ``useful``, of jobs beyond their teams' shares.
        room: processor work that all hosts together may accept before the
            next estimate without a job that ends too late to be of use.
        pressed: whether so little of it is left that each host keeps to its
            part.
        unit: processor work of a typical job of the queue.
    """

    ready: Amount
    coming: Amount
    coming_in_s: float
    reserve: Amount
    reserve_in_s: float
    in_time: Deadlines
    useful: Deadlines
    excess_in_time: Deadlines
    excess_useful: Deadlines
    room: float
    pressed: bool
    unit: float

    @property
    def any_capacity(self) -> bool:
        """Whether there is or will be capacity for the queue's tasks."""
        return self.ready.cpu + self.coming.cpu + self.reserve.cpu > 0

    def processed_by(self, seconds: float) -> Amount:
        """Return the most work that can be processed within a time."""
        if seconds <= 0:
            return Amount()
        coming_s = max(seconds - self.coming_in_s, 0.0)
        reserve_s = max(seconds - self.reserve_in_s, 0.0)
        return (
            self.ready.times(seconds)
            .plus(self.coming.times(coming_s))
            .plus(self.reserve.times(reserve_s))
        )


def trim_deadlines(amounts: Sequence[Amount]) -> Deadlines:
    """Return work by edge in whole units, without trailing zeros."""
    rounded = [amount.rounded() for amount in amounts]
    while rounded and rounded[-1] == Amount():
        rounded.pop()
    return tuple(rounded)


class HostShare(msgspec.Struct, array_like=True, frozen=True):
    """Share of an entry host in what may be accepted, in thousandths."""

    host: str
    permille: int


class AdmissionEstimate(msgspec.Struct, array_like=True, frozen=True):
    """What the leader knew of the queues that have a backlog.

    Attributes:
        number: identifies the estimate within a term of the leader; parts
            of one number can be spent once.
        queues: estimates of queues with a backlog; those of one service and
            priority share one.
        index_by_queue: index of each queue's estimate. All other queues
            have room.
        shares: hosts that accepted jobs recently, ordered by name. The
            remainder of the thousand is for hosts that aren't listed.
        teams_beyond_share: teams of which jobs beyond the share wait.
    """

    version: int
    token: int
    number: int
    queues: tuple[QueueEstimate, ...]
    index_by_queue: dict[str, int]
    shares: tuple[HostShare, ...] = ()
    teams_beyond_share: tuple[str, ...] = ()

    def find_queue(self, name: str) -> QueueEstimate | None:
        """Return the estimate of a queue, or None if it has no backlog."""
        index = self.index_by_queue.get(name)
        return None if index is None else self.queues[index]


def encode_estimate(estimate: AdmissionEstimate | None) -> msgspec.Raw:
    """Return the published form of an estimate."""
    return msgspec.Raw(msgspec.json.encode(estimate))


def decode_estimate(value: msgspec.Raw) -> AdmissionEstimate | None:
    """Return a published estimate; None if its version is another one.

    Raises:
        msgspec.MsgspecError: the value can't be decoded.
    """
    if not bytes(value) or bytes(value) == b"null":
        return None
    fields = json_decoding.decode(bytes(value), list[msgspec.Raw])
    if not fields or bytes(fields[0]) != str(VERSION).encode():
        return None
    return json_decoding.decode(bytes(value), AdmissionEstimate)
