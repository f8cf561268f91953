"""How many hosts each pool should have, and which hosts move.

Answers a demand that turns from pool to pool within seconds. Hosts in a
pool cost by the second, also idle ones, and a move takes about as long as
a task; so idle hosts leave for the standby pool, and a pool gets hosts as
soon as work arrives faster than its hosts can do it, before it waits.
"""

from collections.abc import Sequence
import dataclasses
import math

# Reserve above the work at hand, for sizes that were declared too small.
HEADROOM = 1.1
# A host that goes and comes back costs two moves, each about as much as a
# second of a host in a pool; it stays idle at least that long.
IDLE_BEFORE_LEAVING_S = 2.5
# Hosts that every pool keeps, so that the loss of one leaves another.
MIN_HOSTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PoolDemand:
    """Work of a pool; processors in thousandths of a core.

    Attributes:
        host_cpu: processors of one of its hosts.
        ready_hosts: hosts that take tasks.
        coming_hosts: hosts on their way into the pool.
        busy_cpu: taken by tasks.
        waiting_cpu: wanted by tasks that wait for room now.
        lasting_cpu: part of ``busy_cpu`` that long-running tasks take.
        arriving_cpu: processors that the jobs of the last moments keep
            busy if they go on arriving like this.
        least_hosts: hosts that its long-running tasks need.
    """

    name: str
    host_cpu: int
    ready_hosts: int
    coming_hosts: int
    busy_cpu: int
    waiting_cpu: int
    lasting_cpu: int
    arriving_cpu: float
    least_hosts: int


@dataclasses.dataclass(frozen=True, slots=True)
class IdleHost:
    """A host without tasks that may leave its pool.

    Attributes:
        idle_s: time since its last task ended.
        due: whether maintenance is due, so that it should leave first.
    """

    name: str
    pool: str
    idle_s: float
    due: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A host that should change its pool, with the reason."""

    host: str
    source: str
    target: str
    reason: str


def hosts_wanted(pool: PoolDemand) -> int:
    """Return how many hosts a pool should have now."""
    least = max(pool.least_hosts, MIN_HOSTS)
    if not pool.host_cpu:
        return least
    at_hand = (pool.busy_cpu + pool.waiting_cpu) * HEADROOM
    steady = pool.lasting_cpu + pool.arriving_cpu
    return max(math.ceil(max(at_hand, steady) / pool.host_cpu), least)


def plan_moves(
    pools: Sequence[PoolDemand],
    idle_hosts: Sequence[IdleHost],
    standby_hosts: Sequence[str],
    standby_pool: str,
) -> list[Move]:
    """Return the hosts that should move now.

    Args:
        standby_hosts: hosts of the standby pool that may leave it.
    """
    wanted_by_pool = {pool.name: hosts_wanted(pool) for pool in pools}
    surplus_by_pool = {
        pool.name: pool.ready_hosts
        + pool.coming_hosts
        - wanted_by_pool[pool.name]
        for pool in pools
    }
    # The longest idle leave first, and those that are due before others.
    spare = sorted(
        idle_hosts, key=lambda host: (not host.due, -host.idle_s, host.name)
    )
    moves: list[Move] = []
    reserve = list(standby_hosts)
    lacking = sorted(
        (pool for pool in pools if surplus_by_pool[pool.name] < 0),
        key=lambda pool: surplus_by_pool[pool.name],
    )
    taken: set[str] = set()
    for pool in lacking:
        for _ in range(-surplus_by_pool[pool.name]):
            move = _find_host(
                pool.name, reserve, spare, surplus_by_pool, taken, standby_pool
            )
            if move is None:
                break
            moves.append(move)
            taken.add(move.host)
    for host in spare:
        if host.name in taken or host.idle_s < IDLE_BEFORE_LEAVING_S:
            continue
        if surplus_by_pool.get(host.pool, 0) > 0:
            surplus_by_pool[host.pool] -= 1
            moves.append(Move(host.name, host.pool, standby_pool, "idle"))
    return moves


def _find_host(
    pool: str,
    reserve: list[str],
    spare: Sequence[IdleHost],
    surplus_by_pool: dict[str, int],
    taken: set[str],
    standby_pool: str,
) -> Move | None:
    if reserve:
        return Move(reserve.pop(0), standby_pool, pool, "work waits")
    for host in spare:
        if host.name in taken or host.pool == pool:
            continue
        if surplus_by_pool.get(host.pool, 0) > 0:
            surplus_by_pool[host.pool] -= 1
            return Move(host.name, host.pool, pool, "work waits")
    return None
