"""Spare hosts: how many are needed, and the moves that provide them."""

import collections
from collections.abc import Iterable, Mapping
import dataclasses
import math

from azurevane._internal.models import manifest as manifest_models

# Hosts that a pool keeps beyond its need before it gives any away, as a
# fraction of the need; at least one host. A need that fluctuates by 1% stays
# within this margin and causes no moves.
SURPLUS_KEPT_RATIO = 0.04


@dataclasses.dataclass(frozen=True, slots=True)
class PoolNeed:
    """Hosts that a pool must hold.

    Attributes:
        demand: hosts that its work needs.
        lost: hosts lost with the largest failure domain.
        unavailable: hosts that a wave makes unavailable at once.
    """

    pool: str
    demand: float
    lost: int
    unavailable: int


@dataclasses.dataclass(frozen=True, slots=True)
class BufferPlan:
    """Planned number of hosts in each pool, and the moves to reach it.

    Attributes:
        hosts_by_pool: number of hosts in each pool after the moves.
        spare: number of hosts that the spare pool keeps for other pools.
        moves: (host count, source pool, target pool).
        movable_by_zone: how many of the hosts moved to the spare pool may
            come from each zone, so that the loss of a zone doesn't take too
            many spare hosts.
        shortage_by_pool: hosts missing in each pool that can't get enough.
    """

    hosts_by_pool: dict[str, int]
    spare: int
    moves: tuple[tuple[int, str, str], ...]
    movable_by_zone: dict[str, int]
    shortage_by_pool: dict[str, int]


def deficits_by_zone(
    hosts: Iterable[manifest_models.Host],
    demand_by_pool: Mapping[str, float],
    unavailable_by_pool: Mapping[str, int],
) -> dict[str, dict[str, int]]:
    """Return the hosts that each pool lacks if a zone is lost, by zone."""
    count: collections.Counter[str] = collections.Counter()
    in_zone: collections.Counter[tuple[str, str]] = collections.Counter()
    for host in hosts:
        count[host.pool] += 1
        in_zone[host.zone, host.pool] += 1
    zones = sorted({zone for zone, _ in in_zone})
    return {
        zone: {
            pool: max(
                0,
                math.ceil(demand)
                - (count[pool] - in_zone[zone, pool])
                + unavailable_by_pool.get(pool, 0),
            )
            for pool, demand in demand_by_pool.items()
        }
        for zone in zones
    }


def spare_needed_by_zone(
    deficit_by_zone: Mapping[str, Mapping[str, int]],
) -> dict[str, int]:
    """Return the number of spare hosts needed outside of each zone.

    Only one zone is assumed to be lost at a time, so the same spare hosts
    cover the loss of any zone. Each zone needs the sum of the deficits of
    all pools.
    """
    return {
        zone: sum(by_pool.values())
        for zone, by_pool in deficit_by_zone.items()
    }


def plan_buffers(
    hosts: Iterable[manifest_models.Host],
    demand_by_pool: Mapping[str, float],
    unavailable_by_pool: Mapping[str, int],
    spare_pool: str,
) -> BufferPlan:
    """Return the fewest moves after which the loss of any zone is covered.

    Hosts are moved only to pools that lack some, and only from pools that
    have more than their need and the margin ``SURPLUS_KEPT_RATIO``.
    """
    hosts = list(hosts)
    count = collections.Counter(host.pool for host in hosts)
    others = {
        pool: demand
        for pool, demand in demand_by_pool.items()
        if pool != spare_pool
    }
    needed_by_zone = spare_needed_by_zone(
        deficits_by_zone(hosts, others, unavailable_by_pool)
    )
    spare_by_zone = collections.Counter(
        host.zone for host in hosts if host.pool == spare_pool
    )
    own_hosts = math.ceil(demand_by_pool.get(spare_pool, 0.0))
    required = own_hosts + _min_spare_hosts(needed_by_zone, spare_by_zone)
    movable_by_zone = {
        zone: required - own_hosts - need - spare_by_zone[zone]
        for zone, need in needed_by_zone.items()
    }
    # Hosts that a pool lacks even without a loss become hosts of that pool.
    moves: list[tuple[int, str, str]] = []
    lacking = {
        pool: math.ceil(demand)
        + unavailable_by_pool.get(pool, 0)
        - count[pool]
        for pool, demand in others.items()
    }
    lacking[spare_pool] = required - count[spare_pool]
    surplus = _surplus(hosts, others, unavailable_by_pool)
    shortage_by_pool = _match_moves(lacking, surplus, moves)
    hosts_by_pool = dict(count)
    for number, source, target in moves:
        hosts_by_pool[source] -= number
        hosts_by_pool[target] = hosts_by_pool.get(target, 0) + number
    return BufferPlan(
        hosts_by_pool,
        required - own_hosts,
        tuple(moves),
        movable_by_zone,
        shortage_by_pool,
    )


def _min_spare_hosts(
    needed_by_zone: Mapping[str, int], spare_by_zone: Mapping[str, int]
) -> int:
    """Return the fewest spare hosts that cover the loss of any one zone.

    The spare hosts in the lost zone are lost too, so enough of them must be
    outside of each zone. In the sum over all zones, every spare host counts
    once for each zone except its own.
    """
    zones = len(needed_by_zone)
    if not any(needed_by_zone.values()):
        return 0
    if zones < 2:
        return max(needed_by_zone.values())
    return max(
        math.ceil(sum(needed_by_zone.values()) / (zones - 1)),
        max(
            need + spare_by_zone.get(z, 0)
            for z, need in needed_by_zone.items()
        ),
    )


def _surplus(
    hosts: list[manifest_models.Host],
    demand_by_pool: Mapping[str, float],
    unavailable_by_pool: Mapping[str, int],
) -> dict[str, int]:
    """Return the hosts each pool can give and still cover its worst loss."""
    count = collections.Counter(host.pool for host in hosts)
    worst = _worst_losses(hosts)
    return {
        pool: count[pool]
        - math.ceil(demand)
        - unavailable_by_pool.get(pool, 0)
        - worst[pool]
        - max(1, math.ceil(SURPLUS_KEPT_RATIO * demand))
        for pool, demand in demand_by_pool.items()
    }


def _worst_losses(
    hosts: Iterable[manifest_models.Host],
) -> collections.Counter[str]:
    """Return the number of hosts of each pool in its largest zone."""
    in_zone = collections.Counter((host.pool, host.zone) for host in hosts)
    worst: collections.Counter[str] = collections.Counter()
    for (pool, _), number in in_zone.items():
        worst[pool] = max(worst[pool], number)
    return worst


def _match_moves(
    lacking: Mapping[str, int],
    surplus: Mapping[str, int],
    moves: list[tuple[int, str, str]],
) -> dict[str, int]:
    """Add moves from pools with a surplus; return the remaining shortage."""
    surplus_left = {
        pool: extra for pool, extra in surplus.items() if extra > 0
    }
    shortage_by_pool: dict[str, int] = {}
    for target, number in sorted(lacking.items(), key=lambda i: -i[1]):
        for source in sorted(
            surplus_left, key=lambda pool: -surplus_left[pool]
        ):
            if number <= 0:
                break
            given = min(surplus_left[source], number)
            if given > 0:
                moves.append((given, source, target))
                surplus_left[source] -= given
                number -= given
        if number > 0:
            shortage_by_pool[target] = number
    return shortage_by_pool
