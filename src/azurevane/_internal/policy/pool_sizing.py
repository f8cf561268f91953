"""Decides how many hosts each pool should have and which hosts move.

Designed for demand that shifts between pools within seconds. Hosts in a pool
cost by the second, even when idle, and a move takes about as long as a task.
Therefore idle hosts move to the standby pool, and a pool gets hosts as soon
as work arrives faster than its hosts can process it, before any work waits.
"""

from collections.abc import Sequence
import dataclasses

from azurevane._internal.models import job as job_models
from azurevane._internal.policy import host_packing

# By the sites' prices a move costs about as much as a host in a pool for this
# long, so moving a host that was idle for less may cost more than it saves.
MIN_IDLE_BEFORE_MOVE_S = 1.15
# Every pool keeps this many hosts, so that it survives the loss of one.
MIN_HOSTS_PER_POOL = 2
# Jobs don't arrive evenly: room for this multiple of their mean work keeps
# them from waiting, at the cost of a few hosts more.
ARRIVAL_MARGIN = 1.1


@dataclasses.dataclass(frozen=True, slots=True)
class PoolDemand:
    """Hosts and work of a pool.

    Attributes:
        host: capacity of a host of the pool, the mean if they differ.
        ready_hosts: hosts that take tasks.
        incoming_hosts: hosts that are moving into the pool.
        min_hosts: hosts over which the long-running tasks are spread.
        rooms: capacity that is left on each ready host with long-running
            tasks, beside these.
        running: tasks that run and end by themselves.
        waiting: tasks that wait for capacity; of jobs that can't end in
            time, only as much as ends them after a while.
        waiting_long_running: long-running tasks that wait for capacity.
        arriving: tasks that run at a time if jobs continue to arrive at the
            present rate, when a host ordered now takes tasks.
        missing_label_count: labels that waiting tasks need and that only
            hosts outside the pool have.
        task_blocked: whether a waiting task fits on no host as long as the
            long-running tasks stay, however much they leave in total.
    """

    name: str
    host: job_models.Capacity
    ready_hosts: int
    incoming_hosts: int
    min_hosts: int = 0
    rooms: tuple[job_models.Capacity, ...] = ()
    running: host_packing.Load = host_packing.Load()
    waiting: host_packing.Load = host_packing.Load()
    waiting_long_running: host_packing.Load = host_packing.Load()
    arriving: host_packing.Load = host_packing.Load()
    missing_label_count: int = 0
    task_blocked: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class IdleHost:
    """A host without tasks that may leave its pool.

    Attributes:
        idle_s: time since its last task ended.
        due: whether its maintenance is due, so that it should leave first.
        drained: whether it was drained for a move; it doesn't count as a
            ready host of its pool then.
    """

    name: str
    pool: str
    idle_s: float
    due: bool = False
    drained: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BusyHost:
    """A host whose tasks all end by themselves.

    Attributes:
        tasks: number of its tasks.
        draining: whether it gets no new tasks because it is to be moved.
    """

    name: str
    pool: str
    tasks: int
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HostMove:
    """A move of a host to another pool, with the reason."""

    host: str
    source: str
    target: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostMovePlan:
    """Hosts to move now, and hosts to drain for later moves."""

    moves: tuple[HostMove, ...]
    drain: frozenset[str]


def wanted_host_count(pool: PoolDemand) -> int:
    """Return how many hosts a pool needs now."""
    minimum = max(pool.min_hosts, MIN_HOSTS_PER_POOL)
    if not pool.host.cpu:
        return minimum
    enough = max(minimum, len(pool.rooms) + _hosts_beside(pool))
    host_count = pool.ready_hosts + pool.incoming_hosts
    if pool.task_blocked:
        enough = max(enough, pool.ready_hosts + 1)
    if not pool.missing_label_count:
        return enough
    # Each incoming host may have one of the missing labels.
    extra = max(pool.missing_label_count - pool.incoming_hosts, 0)
    return max(enough, host_count + extra)


def _hosts_beside(pool: PoolDemand) -> int:
    """Return the hosts needed beside those with long-running tasks."""
    arriving = pool.arriving.scaled(ARRIVAL_MARGIN)
    return host_packing.hosts_needed(
        pool.waiting_long_running, pool.rooms, pool.host
    ) + max(
        host_packing.hosts_needed(load, pool.rooms, pool.host)
        for load in (pool.running + pool.waiting, arriving)
    )


def allot_hosts(
    pools: Sequence[PoolDemand], standby_count: int
) -> dict[str, int]:
    """Divide the existing hosts between the pools.

    If the pools together want more hosts than there are, each gets what its
    long-running tasks need, and the rest is divided in proportion to what
    each wants beyond that.
    """
    wanted_by_pool = {pool.name: wanted_host_count(pool) for pool in pools}
    host_count = standby_count + sum(
        pool.ready_hosts + pool.incoming_hosts for pool in pools
    )
    if sum(wanted_by_pool.values()) <= host_count:
        return wanted_by_pool
    min_by_pool = {
        pool.name: max(pool.min_hosts, MIN_HOSTS_PER_POOL, len(pool.rooms))
        for pool in pools
    }
    left = max(host_count - sum(min_by_pool.values()), 0)
    extra_by_pool = {
        name: wanted - min_by_pool[name]
        for name, wanted in wanted_by_pool.items()
    }
    extra = max(sum(extra_by_pool.values()), 1)
    return {
        name: min_by_pool[name] + round(left * extra_by_pool[name] / extra)
        for name in wanted_by_pool
    }


def plan_moves(
    pools: Sequence[PoolDemand],
    idle_hosts: Sequence[IdleHost],
    busy_hosts: Sequence[BusyHost],
    standby_hosts: Sequence[str],
    standby_pool: str,
) -> HostMovePlan:
    """Return the hosts to move now and the hosts to drain for a move.

    Args:
        standby_hosts: hosts of the standby pool that may leave it.
    """
    allotted_by_pool = allot_hosts(pools, len(standby_hosts))
    surplus_by_pool = {
        pool.name: pool.ready_hosts
        + pool.incoming_hosts
        - allotted_by_pool[pool.name]
        for pool in pools
    }
    # Hosts due for maintenance leave first, then those idle for longest.
    idle_by_preference = sorted(
        idle_hosts, key=lambda host: (not host.due, -host.idle_s, host.name)
    )
    moves: list[HostMove] = []
    standby_left = list(standby_hosts)
    short_pools = sorted(
        (pool.name for pool in pools if surplus_by_pool[pool.name] < 0),
        key=lambda name: surplus_by_pool[name],
    )
    moving: set[str] = set()
    missing = 0
    for name in short_pools:
        count = -surplus_by_pool[name]
        for number in range(count):
            move = _find_host(
                name,
                standby_left,
                idle_by_preference,
                surplus_by_pool,
                moving,
                standby_pool,
            )
            if move is None:
                missing += count - number
                break
            moves.append(move)
            moving.add(move.host)
    drain = _choose_drained(busy_hosts, surplus_by_pool, missing)
    for host in idle_by_preference:
        if host.name in moving or host.idle_s < MIN_IDLE_BEFORE_MOVE_S:
            continue
        if surplus_by_pool.get(host.pool, 0) > 0:
            surplus_by_pool[host.pool] -= 1
            moves.append(HostMove(host.name, host.pool, standby_pool, "idle"))
    return HostMovePlan(tuple(moves), drain)


def _choose_drained(
    busy_hosts: Sequence[BusyHost],
    surplus_by_pool: dict[str, int],
    missing: int,
) -> frozenset[str]:
    """Choose busy hosts of pools with a surplus, the emptiest first."""
    chosen: set[str] = set()
    left_by_pool = dict(surplus_by_pool)
    for host in sorted(
        busy_hosts, key=lambda host: (not host.draining, host.tasks, host.name)
    ):
        if len(chosen) >= missing:
            break
        # Hosts that are draining already aren't part of the surplus.
        if host.draining:
            chosen.add(host.name)
        elif left_by_pool.get(host.pool, 0) > 0:
            left_by_pool[host.pool] -= 1
            chosen.add(host.name)
    return frozenset(chosen)


def _find_host(
    pool: str,
    standby_left: list[str],
    idle_by_preference: Sequence[IdleHost],
    surplus_by_pool: dict[str, int],
    moving: set[str],
    standby_pool: str,
) -> HostMove | None:
    # Prefer an idle host of another pool, which would move to standby anyway:
    # it then moves only once.
    for host in idle_by_preference:
        if host.name in moving or host.pool == pool:
            continue
        if host.drained:
            return HostMove(host.name, host.pool, pool, "vacated")
        if surplus_by_pool.get(host.pool, 0) > 0:
            surplus_by_pool[host.pool] -= 1
            return HostMove(host.name, host.pool, pool, "work waits")
    if standby_left:
        return HostMove(standby_left.pop(0), standby_pool, pool, "work waits")
    return None
