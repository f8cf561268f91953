"""Whether a host's copy of the fleet state is known to be current."""

from collections.abc import Iterable
import dataclasses

# A confirmation counts this long, from when the question was sent. With
# one probe interval it keeps a withdrawn key below the 3 s bound.
FRESHNESS_S = 2.0


def majority_size(seats: int) -> int:
    """Return the least number of seats of which any two sets overlap."""
    return seats // 2 + 1


def acknowledgements_needed(seats: int, taken: int) -> int:
    """Return how many seats must acknowledge a change before it is made.

    Until a majority of the seats is taken, no host can be fresh by its
    peers. All are fresh by the store alone, which shows them the change
    as soon as it is written, so none needs to acknowledge it.
    """
    needed = majority_size(seats)
    return needed if taken >= needed else 0


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmations:
    """When the newest confirmed questions were sent, monotonic seconds.

    Attributes:
        store_asked_at: question to the store; None if it confirmed none.
        seats_asked_at: one per seat whose holder confirmed the version.
    """

    store_asked_at: float | None
    seats_asked_at: tuple[float, ...]


def fresh_until(confirmations: Confirmations, seats: int) -> float:
    """Return until when confirmations keep a host fresh.

    Args:
        seats: number of seats of the site, taken or not.
    """
    asked = [float("-inf")]
    if confirmations.store_asked_at is not None:
        asked.append(confirmations.store_asked_at)
    newest_first = sorted(confirmations.seats_asked_at, reverse=True)
    needed = majority_size(seats)
    if seats and len(newest_first) >= needed:
        asked.append(newest_first[needed - 1])
    return max(asked) + FRESHNESS_S


def confirms_version(
    version: int,
    prepared: Iterable[str],
    own_version: int,
    known: Iterable[str],
) -> bool:
    """Whether a peer's answer says that nothing newer is accepted.

    Args:
        prepared: tokens of the changes that the peer has prepared.
        known: tokens that this host obeys or knows to be settled.
    """
    return version == own_version and set(prepared) <= set(known)
