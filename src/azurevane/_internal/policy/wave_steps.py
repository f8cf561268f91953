"""Which hosts of a maintenance wave are vacated and maintained next.

Hosts without tasks go first. Others are vacated a few at a time, in pools
with little work before busy ones; near the end of the wave's time also in
busy pools, as many as are needed to be done in time.
"""

from collections.abc import Sequence
import dataclasses
import math

# Share of the wave's time after which busy pools are vacated too.
PATIENT_SHARE = 0.4
# Share of a pool that may be away for maintenance at once.
POOL_SHARE = 0.34
# A pool is busy when more of its capacity than this is taken.
BUSY_SHARE = 0.5
# Time from vacating a host until it is back in its pool.
TURN_S = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class DueHost:
    """A host of the wave that hasn't begun its maintenance.

    Attributes:
        empty: whether nothing runs there.
        vacating: whether it gets no new tasks already.
        standby: whether its pool is off.
        load: share of its pool's capacity that is taken.
        pool_hosts: hosts of its pool that take tasks.
        pool_away: hosts of its pool that are vacating or away.
    """

    name: str
    pool: str
    empty: bool
    vacating: bool
    standby: bool
    load: float
    pool_hosts: int
    pool_away: int


@dataclasses.dataclass(frozen=True, slots=True)
class WaveSteps:
    """What to do next: hosts to maintain now, and hosts to vacate."""

    maintain: tuple[str, ...]
    vacate: tuple[str, ...]


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
        down: hosts of the wave that are in maintenance now.
        max_down: most hosts of the wave in maintenance at once.
        elapsed_s: time since the wave was asked for.
        within_s: time in which all hosts must have begun.
    """
    left = max_down - down
    away_by_pool = {host.pool: host.pool_away for host in due}
    # Vacated hosts go first: their pools already do without them.
    ordered = sorted(
        due, key=lambda host: (not host.standby, not host.vacating, host.load)
    )
    maintain = _choose_maintained(ordered, left, away_by_pool)
    late = elapsed_s >= within_s * PATIENT_SHARE
    vacating = sum(host.vacating and not host.empty for host in due)
    room = left - len(maintain) - vacating
    if late:
        room = max(room, _needed(due, elapsed_s, within_s) - vacating)
    candidates = [
        host
        for host in ordered
        if not host.empty
        and not host.vacating
        and (late or host.load <= BUSY_SHARE)
    ]
    vacate = _choose_vacated(candidates, room, away_by_pool)
    return WaveSteps(tuple(maintain), tuple(vacate))


def _choose_maintained(
    ordered: Sequence[DueHost], most: int, away_by_pool: dict[str, int]
) -> list[str]:
    chosen: list[str] = []
    for host in ordered:
        if len(chosen) >= most:
            break
        if not host.empty:
            continue
        away_already = host.standby or host.vacating
        if not away_already and not _may_leave(host, away_by_pool):
            continue
        chosen.append(host.name)
        if not away_already:
            away_by_pool[host.pool] += 1
    return chosen


def _choose_vacated(
    candidates: Sequence[DueHost], most: int, away_by_pool: dict[str, int]
) -> list[str]:
    chosen: list[str] = []
    for host in candidates:
        if len(chosen) >= most:
            break
        if _may_leave(host, away_by_pool):
            chosen.append(host.name)
            away_by_pool[host.pool] += 1
    return chosen


def _may_leave(host: DueHost, away_by_pool: dict[str, int]) -> bool:
    most = max(1, math.floor(host.pool_hosts * POOL_SHARE))
    return away_by_pool[host.pool] < most


def _needed(due: Sequence[DueHost], elapsed_s: float, within_s: float) -> int:
    """Return how many hosts must be away at once to end in time."""
    rounds = max(math.floor((within_s - elapsed_s) / TURN_S), 1)
    return math.ceil(len(due) / rounds)
