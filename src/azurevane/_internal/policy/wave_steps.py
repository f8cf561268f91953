"""Decides which hosts of a maintenance wave to drain and maintain next.

Hosts without tasks are maintained first. Other hosts are drained a few at a
time, at first only in pools with little work. Later in the wave, busy pools
are drained too, with as many hosts at once as the deadline requires.
"""

from collections.abc import Sequence
import dataclasses
import math

# Fraction of the wave's time after which busy pools are drained too.
IDLE_POOLS_ONLY_RATIO = 0.4
# Fraction of a pool's hosts that may be unavailable for maintenance at once.
MAX_POOL_UNAVAILABLE_RATIO = 0.34
# A pool is busy when more than this fraction of its capacity is in use.
BUSY_POOL_RATIO = 0.5
# Time from the start of a host's drain until it is back in its pool.
HOST_TURNAROUND_S = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class DueHost:
    """A host of the wave whose maintenance hasn't begun.

    Attributes:
        empty: whether it runs no tasks.
        draining: whether it gets no new tasks already.
        standby: whether its pool is the standby pool.
        load: fraction of its pool's capacity that is in use.
        pool_hosts: number of hosts of its pool that take tasks.
        pool_unavailable: number of hosts of its pool that are draining or
            unavailable.
    """

    name: str
    pool: str
    empty: bool
    draining: bool
    standby: bool
    load: float
    pool_hosts: int
    pool_unavailable: int


@dataclasses.dataclass(frozen=True, slots=True)
class WaveSteps:
    """Next steps of a wave: hosts to maintain now, and hosts to drain."""

    maintain: tuple[str, ...]
    drain: tuple[str, ...]


def plan_wave(
    due: Sequence[DueHost],
    *,
    down: int,
    max_down: int,
    elapsed_s: float,
    within_s: float,
) -> WaveSteps:
    """Return the next steps of a wave.

    Args:
        down: number of hosts of the wave that are in maintenance now.
        max_down: maximum number of hosts in maintenance at once.
        elapsed_s: time since the wave was requested.
        within_s: time within which every host must have begun.
    """
    allowed_count = max_down - down
    unavailable_by_pool = {host.pool: host.pool_unavailable for host in due}
    # Draining hosts come early: their pools already work without them.
    ordered = sorted(
        due, key=lambda host: (not host.standby, not host.draining, host.load)
    )
    maintain = _choose_maintained(ordered, allowed_count, unavailable_by_pool)
    late = elapsed_s >= within_s * IDLE_POOLS_ONLY_RATIO
    draining = sum(host.draining and not host.empty for host in due)
    drain_count = allowed_count - len(maintain) - draining
    if late:
        drain_count = max(
            drain_count,
            _hosts_needed_at_once(due, elapsed_s, within_s) - draining,
        )
    candidates = [
        host
        for host in ordered
        if not host.empty
        and not host.draining
        and (late or host.load <= BUSY_POOL_RATIO)
    ]
    drain = _choose_drained(candidates, drain_count, unavailable_by_pool)
    return WaveSteps(tuple(maintain), tuple(drain))


def _choose_maintained(
    ordered: Sequence[DueHost],
    max_count: int,
    unavailable_by_pool: dict[str, int],
) -> list[str]:
    chosen: list[str] = []
    for host in ordered:
        if len(chosen) >= max_count:
            break
        if not host.empty:
            continue
        already_unavailable = host.standby or host.draining
        if not already_unavailable and not _may_become_unavailable(
            host, unavailable_by_pool
        ):
            continue
        chosen.append(host.name)
        if not already_unavailable:
            unavailable_by_pool[host.pool] += 1
    return chosen


def _choose_drained(
    candidates: Sequence[DueHost],
    max_count: int,
    unavailable_by_pool: dict[str, int],
) -> list[str]:
    chosen: list[str] = []
    for host in candidates:
        if len(chosen) >= max_count:
            break
        if _may_become_unavailable(host, unavailable_by_pool):
            chosen.append(host.name)
            unavailable_by_pool[host.pool] += 1
    return chosen


def _may_become_unavailable(
    host: DueHost, unavailable_by_pool: dict[str, int]
) -> bool:
    max_unavailable = max(
        1, math.floor(host.pool_hosts * MAX_POOL_UNAVAILABLE_RATIO)
    )
    return unavailable_by_pool[host.pool] < max_unavailable


def _hosts_needed_at_once(
    due: Sequence[DueHost], elapsed_s: float, within_s: float
) -> int:
    """Return how many hosts to maintain at once to finish in time."""
    rounds = max(math.floor((within_s - elapsed_s) / HOST_TURNAROUND_S), 1)
    return math.ceil(len(due) / rounds)
