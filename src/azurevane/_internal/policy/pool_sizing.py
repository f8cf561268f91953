"""How many hosts each pool should have, and which hosts move.

Answers a demand that turns from pool to pool within seconds. Hosts in a
pool cost by the second, also idle ones, and a move takes about as long as
a task; so idle hosts leave for the standby pool, and a pool gets hosts as
soon as work arrives faster than its hosts can do it, before it waits.
"""

from collections.abc import Sequence
import dataclasses
import math

# A move costs about as much as a host in a pool for this long, by the ratio
# of the sites' prices; a host that leaves sooner may cost more than it saves.
MIN_IDLE_BEFORE_MOVE_S = 1.15
# Hosts that every pool keeps, so that the loss of one leaves another.
MIN_HOSTS_PER_POOL = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PoolDemand:
    """Work of a pool; processors in thousandths of a core.

    Attributes:
        host_cpu: processors of one of its hosts.
        ready_hosts: hosts that take tasks.
        incoming_hosts: hosts on their way into the pool.
        busy_cpu: taken by tasks.
        waiting_cpu: wanted by tasks that wait for room now.
        long_running_cpu: part of ``busy_cpu`` that long-running tasks take.
        arriving_cpu: processors that the jobs of the last moments keep
            busy if they go on arriving like this.
        min_hosts: hosts that its long-running tasks need.
        missing_label_count: labels that waiting tasks need, that none of its
            hosts has and some host elsewhere does.
    """

    name: str
    host_cpu: int
    ready_hosts: int
    incoming_hosts: int
    busy_cpu: int
    waiting_cpu: int
    long_running_cpu: int
    arriving_cpu: float
    min_hosts: int
    missing_label_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class IdleHost:
    """A host without tasks that may leave its pool.

    Attributes:
        idle_s: time since its last task ended.
        due: whether maintenance is due, so that it should leave first.
        drained: whether it was vacated for a move; it isn't part of its
            pool's ready hosts then.
    """

    name: str
    pool: str
    idle_s: float
    due: bool = False
    drained: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BusyHost:
    """A host with tasks that end by themselves.

    Attributes:
        tasks: number of its tasks.
        draining: whether it gets no new tasks for a move.
    """

    name: str
    pool: str
    tasks: int
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HostMove:
    """A host that should change its pool, with the reason."""

    host: str
    source: str
    target: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostMovePlan:
    """Hosts that move now, and those that should be vacated."""

    moves: tuple[HostMove, ...]
    drain: frozenset[str]


def wanted_host_count(pool: PoolDemand) -> int:
    """Return how many hosts a pool should have now."""
    least = max(pool.min_hosts, MIN_HOSTS_PER_POOL)
    if not pool.host_cpu:
        return least
    at_hand = pool.busy_cpu + pool.waiting_cpu
    steady = pool.long_running_cpu + pool.arriving_cpu
    enough = max(math.ceil(max(at_hand, steady) / pool.host_cpu), least)
    if not pool.missing_label_count:
        return enough
    there = pool.ready_hosts + pool.incoming_hosts
    # Hosts that are on their way may bring the label.
    more = max(pool.missing_label_count - pool.incoming_hosts, 0)
    return max(enough, there + more)


def allot_hosts(
    pools: Sequence[PoolDemand], standby_count: int
) -> dict[str, int]:
    """Return how many hosts each pool should have of those there are.

    Where all pools together want more than there is, each keeps what its
    long-running tasks need, and the rest is shared by what each wants.
    """
    wanted_by_pool = {pool.name: wanted_host_count(pool) for pool in pools}
    there = standby_count + sum(
        pool.ready_hosts + pool.incoming_hosts for pool in pools
    )
    if sum(wanted_by_pool.values()) <= there:
        return wanted_by_pool
    least_by_pool = {
        pool.name: max(pool.min_hosts, MIN_HOSTS_PER_POOL) for pool in pools
    }
    left = max(there - sum(least_by_pool.values()), 0)
    more_by_pool = {
        name: wanted - least_by_pool[name]
        for name, wanted in wanted_by_pool.items()
    }
    more = max(sum(more_by_pool.values()), 1)
    return {
        name: least_by_pool[name] + round(left * more_by_pool[name] / more)
        for name in wanted_by_pool
    }


def plan_moves(
    pools: Sequence[PoolDemand],
    idle_hosts: Sequence[IdleHost],
    busy_hosts: Sequence[BusyHost],
    standby_hosts: Sequence[str],
    standby_pool: str,
) -> HostMovePlan:
    """Return the hosts that should move now or be vacated for a move.

    Args:
        standby_hosts: hosts of the standby pool that may leave it.
    """
    due_by_pool = allot_hosts(pools, len(standby_hosts))
    surplus_by_pool = {
        pool.name: pool.ready_hosts
        + pool.incoming_hosts
        - due_by_pool[pool.name]
        for pool in pools
    }
    # The longest idle leave first, and those that are due before others.
    spare = sorted(
        idle_hosts, key=lambda host: (not host.due, -host.idle_s, host.name)
    )
    moves: list[HostMove] = []
    reserve = list(standby_hosts)
    lacking = sorted(
        (pool.name for pool in pools if surplus_by_pool[pool.name] < 0),
        key=lambda name: surplus_by_pool[name],
    )
    taken: set[str] = set()
    missing = 0
    for name in lacking:
        count = -surplus_by_pool[name]
        for number in range(count):
            move = _find_host(
                name, reserve, spare, surplus_by_pool, taken, standby_pool
            )
            if move is None:
                missing += count - number
                break
            moves.append(move)
            taken.add(move.host)
    vacate = _choose_drained(busy_hosts, surplus_by_pool, missing)
    for host in spare:
        if host.name in taken or host.idle_s < MIN_IDLE_BEFORE_MOVE_S:
            continue
        if surplus_by_pool.get(host.pool, 0) > 0:
            surplus_by_pool[host.pool] -= 1
            moves.append(HostMove(host.name, host.pool, standby_pool, "idle"))
    return HostMovePlan(tuple(moves), vacate)


def _choose_drained(
    busy_hosts: Sequence[BusyHost],
    surplus_by_pool: dict[str, int],
    missing: int,
) -> frozenset[str]:
    """Choose hosts of pools with more than their due, the emptiest first."""
    chosen: set[str] = set()
    left_by_pool = dict(surplus_by_pool)
    for host in sorted(
        busy_hosts, key=lambda host: (not host.draining, host.tasks, host.name)
    ):
        if len(chosen) >= missing:
            break
        # Hosts that are vacated already aren't part of the surplus.
        if host.draining:
            chosen.add(host.name)
        elif left_by_pool.get(host.pool, 0) > 0:
            left_by_pool[host.pool] -= 1
            chosen.add(host.name)
    return frozenset(chosen)


def _find_host(
    pool: str,
    reserve: list[str],
    spare: Sequence[IdleHost],
    surplus_by_pool: dict[str, int],
    taken: set[str],
    standby_pool: str,
) -> HostMove | None:
    # A host that would leave its pool anyway is moved once, not twice.
    for host in spare:
        if host.name in taken or host.pool == pool:
            continue
        if host.drained:
            return HostMove(host.name, host.pool, pool, "vacated")
        if surplus_by_pool.get(host.pool, 0) > 0:
            surplus_by_pool[host.pool] -= 1
            return HostMove(host.name, host.pool, pool, "work waits")
    if reserve:
        return HostMove(reserve.pop(0), standby_pool, pool, "work waits")
    return None
