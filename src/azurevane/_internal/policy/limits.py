"""Divides limits into base parts per seat and lends permits between hosts."""

from collections.abc import Collection
import dataclasses
import math
import zlib

LOAN_LIFETIME_S = 2.0
"""Lifetime of a loan, counted by the borrower from sending the ask."""

FRESHNESS_S = 2.0
"""Maximum time for which a host that missed a change uses the old state.

At least ``freshness.FRESHNESS_S``.
"""

FIRST_EPOCH = 1
"""Epoch of the first holder of a seat, which has no predecessor."""

ASK_REPEAT_INTERVAL_S = 0.5
"""Interval at which an ask is repeated while work waits."""

ASK_UPDATE_INTERVAL_S = 0.1
"""Minimum time between asks that differ only in rank or count."""

ASK_MIN_INTERVAL_S = 0.005
"""Minimum time between two asks for the same name."""

ASK_LIFETIME_S = 0.6
"""Time for which a lender keeps an ask; longer than the repeat interval."""

IDLE_PERMIT_KEPT_S = 0.1
"""Time after which an unused permit of a loan is returned."""

LOAN_RENEW_INTERVAL_S = 0.5
"""Time between renewals; a loan survives two lost renewals."""

ZONE_RETURN_RAMP_S = 4.0
"""Time over which the slots of a returned zone's runners are restored."""


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequester:
    """A host whose waiting work could use permits of one limit.

    Attributes:
        peer: name of the entry host; empty for this host.
        kind: ``team`` or ``pool``.
        name: name of the team or the pool.
        tier: 0 if the permits belong to the named team or pool, 1 if they
            would be borrowed from a spare pool.
        rank: used slot seconds divided by weight; the lowest is served
            first.
        waited_s: seconds for which the first request to be served has
            waited.
        count: number of permits wanted.
    """

    peer: str
    kind: str
    name: str
    tier: int
    rank: float
    waited_s: float
    count: int


def base_part(limit_key: str, limit: int, seats: int, seat: int) -> int:
    """Return the part of a limit that belongs to one seat.

    The parts of all seats add up to the limit. The remainder is given out
    from a seat selected by the checksum of the key, so raising a limit never
    lowers a part.
    """
    whole, rest = divmod(max(0, limit), seats)
    first = zlib.crc32(limit_key.encode()) % seats
    return whole + ((seat - first) % seats < rest)


def ramped_limit(limit: int, returned_s: float) -> int:
    """Return a runner's slots after its zone has returned.

    They grow from a quarter to all of them, so that a returned zone doesn't
    get more work at once than it can start.

    Args:
        returned_s: seconds since the zone returned.
    """
    fraction = 0.25 + 0.75 * min(
        1.0, max(0.0, returned_s) / ZONE_RETURN_RAMP_S
    )
    return max(min(limit, 1), int(limit * fraction))


def base_usable_at(
    seen_at: float, epoch: int, max_run_s: float, *, clean: bool = False
) -> float:
    """Return the time from which a new holder may use its seat's base parts.

    By then the predecessor has lost its freshness, its last loan has
    expired, and any work started just before that expiry has ended.

    Args:
        seen_at: time at which the accepted seat change was in force here.
        max_run_s: maximum run time of a request.
        clean: whether the predecessor released the seat with no permit in
            use or lent.
    """
    if epoch <= FIRST_EPOCH or clean:
        return seen_at
    return seen_at + FRESHNESS_S + LOAN_LIFETIME_S + max_run_s


def loan_reclaimable_at(renewed_at: float, max_run_s: float) -> float:
    """Return when the lender may reuse the permits of an unreturned loan.

    Args:
        renewed_at: time at which the lender sent the loan or the last
            acknowledgement of a renewal.
        max_run_s: maximum run time of a request under the loan.
    """
    return renewed_at + LOAN_LIFETIME_S + max_run_s


def lowering_reserve(
    limit_key: str,
    lowered_from: int,
    limit: int,
    seats: int,
    unreported_seats: Collection[int],
) -> int:
    """Return how many permits a seat reserves after a limit was lowered.

    A seat that hasn't reported that its work fits its new part may still use
    all of its old part. Each other seat leaves the whole difference unused,
    because it can't count on the remaining seats, which may use all of their
    new parts.

    Args:
        lowered_from: previous limit, which defines the old parts.
        unreported_seats: numbers of the other seats that haven't reported
            yet.
    """
    return sum(
        base_part(limit_key, lowered_from, seats, seat)
        - base_part(limit_key, limit, seats, seat)
        for seat in unreported_seats
    )


def sort_by_priority(
    requesters: list[PermitRequester],
) -> list[PermitRequester]:
    """Return the requesters sorted by priority, the first to serve first."""
    return sorted(
        requesters,
        key=lambda item: (
            item.tier,
            item.rank,
            -item.waited_s,
            item.peer != "",
        ),
    )


def grant_spare_permits(
    spare: int, requesters: list[PermitRequester]
) -> list[tuple[PermitRequester, int]]:
    """Divide spare permits between requesters by priority.

    Permits granted to this host's own waiting work are kept and aren't part
    of the result.

    Returns:
        Each peer that gets permits, with the number of them.
    """
    granted: list[tuple[PermitRequester, int]] = []
    for requester in sort_by_priority(requesters):
        if spare <= 0:
            break
        count = min(spare, requester.count)
        spare -= count
        if requester.peer and count:
            granted.append((requester, count))
    return granted


def next_ask_at(
    asked_at: float | None, unanswered: int, wanted: int, changed: bool
) -> float:
    """Return when to send the next ask for waiting work.

    Args:
        asked_at: time of the last ask; None if there was none.
        unanswered: number of permits of the last ask that weren't lent.
        wanted: number of permits that waiting work could use.
        changed: whether the rank has changed since the last ask.
    """
    if asked_at is None:
        return -math.inf
    if wanted >= 2 * max(1, unanswered) or (wanted and not unanswered):
        return asked_at + ASK_MIN_INTERVAL_S
    if changed or wanted > unanswered:
        return asked_at + ASK_UPDATE_INTERVAL_S
    return asked_at + ASK_REPEAT_INTERVAL_S
