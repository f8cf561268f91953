"""Division of limits into base parts, and lending between hosts."""

from collections.abc import Collection
import dataclasses
import math
import zlib

LOAN_LIFETIME_S = 2.0
"""Life of a loan, counted by the borrower from when it sent the ask."""

FRESHNESS_S = 2.0
"""Longest time a host that missed a change still acts on the old state."""

FIRST_EPOCH = 1
"""Epoch of a seat's first holder, which has no predecessor."""

ASK_REPEAT_INTERVAL_S = 0.5
"""Time after which an ask is repeated while work waits."""

ASK_UPDATE_INTERVAL_S = 0.1
"""Least time between asks when only their rank or count has changed."""

ASK_MIN_INTERVAL_S = 0.005
"""Least time between two asks for the same name."""

ASK_LIFETIME_S = 0.6
"""Time an ask stays open at a lender; a repeat comes before its end."""

IDLE_PERMIT_KEPT_S = 0.1
"""Time after which a permit of a loan that nobody used goes back."""

LOAN_RENEW_INTERVAL_S = 0.5
"""Time between renewals, so that a loan outlives two lost ones."""

ZONE_RETURN_RAMP_S = 4.0
"""Time over which the runners of a returned zone get all their slots."""


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequester:
    """Waiting work that could use permits of one limit.

    Attributes:
        peer: entry host that asks; empty for this host.
        kind: ``team`` or ``pool``.
        name: name of the team or the pool.
        tier: 0 if the permits are of what it asks for, 1 if it would
            borrow them from a spare pool.
        rank: used slot seconds by weight; the lowest is served first.
        waited_s: seconds that the most deserving waiter has waited.
        count: permits wanted.
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

    The parts of all seats add up to the limit. The remainder starts at a
    seat that the key's checksum picks, so a higher limit lowers no part.
    """
    whole, rest = divmod(max(0, limit), seats)
    first = zlib.crc32(limit_key.encode()) % seats
    return whole + ((seat - first) % seats < rest)


def ramped_limit(limit: int, returned_s: float) -> int:
    """Return a runner's slots while its zone comes back.

    They grow from a quarter to all, so that a returned zone isn't given
    more at once than it can start.

    Args:
        returned_s: seconds since the zone came back.
    """
    part = 0.25 + 0.75 * min(1.0, max(0.0, returned_s) / ZONE_RETURN_RAMP_S)
    return max(min(limit, 1), int(limit * part))


def base_usable_at(
    seen_at: float, epoch: int, max_run_s: float, *, clean: bool = False
) -> float:
    """Return from when a new holder may use the base parts of its seat.

    By then the predecessor has lost its freshness, its last loan has
    lapsed, and the work started at the loan's last moment has ended.

    Args:
        seen_at: when the accepted seat change was in force here.
        clean: whether the predecessor handed the seat over with nothing
            in use or lent.
    """
    if epoch <= FIRST_EPOCH or clean:
        return seen_at
    return seen_at + FRESHNESS_S + LOAN_LIFETIME_S + max_run_s


def loan_settled_at(renewed_at: float, max_run_s: float) -> float:
    """Return when the home takes back a loan that wasn't returned.

    Args:
        renewed_at: when the home sent the loan or its last renewal.
    """
    return renewed_at + LOAN_LIFETIME_S + max_run_s


def lowering_reserve(
    limit_key: str,
    lowered_from: int,
    limit: int,
    seats: int,
    unsettled: Collection[int],
) -> int:
    """Return what a seat leaves unused while older work may still run.

    A seat that hasn't reported that its work fits into its new part may
    have up to its old part in use. Each of the others leaves the whole
    difference unused, because the others may use their full new parts.

    Args:
        lowered_from: limit of which the old parts are.
        unsettled: numbers of the other seats that haven't reported.
    """
    return sum(
        base_part(limit_key, lowered_from, seats, seat)
        - base_part(limit_key, limit, seats, seat)
        for seat in unsettled
    )


def sort_by_priority(
    requesters: list[PermitRequester],
) -> list[PermitRequester]:
    """Order claimants from the most to the least deserving."""
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
    """Divide spare permits between claimants, the most deserving first.

    What falls to this host's own waiters is kept and isn't returned.
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
    """Return when waiting work is to be asked for (again).

    Args:
        asked_at: when the last ask was sent; None if none was.
        unanswered: permits of the last ask that weren't lent.
        wanted: permits that waiting work could use.
        changed: whether the rank has changed since the last ask.
    """
    if asked_at is None:
        return -math.inf
    if wanted >= 2 * max(1, unanswered) or (wanted and not unanswered):
        return asked_at + ASK_MIN_INTERVAL_S
    if changed or wanted > unanswered:
        return asked_at + ASK_UPDATE_INTERVAL_S
    return asked_at + ASK_REPEAT_INTERVAL_S
