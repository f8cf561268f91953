"""Whether a host's copy of the fleet state is known to be current."""

from collections.abc import Iterable
import dataclasses

# Time for which a confirmation is valid, counted from sending the request for
# it. With one probe interval added, it is below the 3 s within which a
# withdrawn key must stop working.
FRESHNESS_S = 2.0


def majority_size(seats: int) -> int:
    """Return the smallest number of seats such that any two sets overlap."""
    return seats // 2 + 1


def acknowledgements_needed(seats: int, taken: int) -> int:
    """Return how many seats must acknowledge a change before it is made.

    Until a majority of the seats is taken, no host can be fresh through its
    peers. Every host is fresh through the store alone, which shows it the
    change as soon as it is written, so no acknowledgement is needed.
    """
    needed = majority_size(seats)
    return needed if taken >= needed else 0


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmations:
    """Times at which the latest confirmed requests were sent.

    Times are in monotonic seconds.

    Attributes:
        store_read_sent_at: time of the read from the store; None if the
            store hasn't confirmed any.
        seat_probes_sent_at: time of the probe of each seat whose holder
            confirmed the version.
    """

    store_read_sent_at: float | None
    seat_probes_sent_at: tuple[float, ...]


def fresh_until(confirmations: Confirmations, seats: int) -> float:
    """Return the time until which confirmations keep a host fresh.

    Args:
        seats: number of seats of the site, taken or not.
    """
    sent_at = [float("-inf")]
    if confirmations.store_read_sent_at is not None:
        sent_at.append(confirmations.store_read_sent_at)
    newest_first = sorted(confirmations.seat_probes_sent_at, reverse=True)
    needed = majority_size(seats)
    if seats and len(newest_first) >= needed:
        sent_at.append(newest_first[needed - 1])
    return max(sent_at) + FRESHNESS_S


def confirms_version(
    version: int,
    prepared: Iterable[str],
    own_version: int,
    known_tokens: Iterable[str],
) -> bool:
    """Whether a peer's answer shows that no newer version is accepted.

    Args:
        version: version in force at the peer.
        prepared: tokens of the changes that the peer has prepared.
        known_tokens: tokens of the changes that this host applies or knows
            to be settled.
    """
    return version == own_version and set(prepared) <= set(known_tokens)
