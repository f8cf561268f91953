"""Weighted max-min fairness between the teams that use a pool."""

import bisect
from collections.abc import Iterable, Sequence
import dataclasses
import itertools

# A running request is charged this many slot seconds in advance, so that
# slots which become free at the same time don't all go to one team. The charge
# is the same for every team and is refunded when the run ends, so it favours
# no team. It must exceed the delay of 0.1 s with which the counters of other
# hosts arrive; otherwise all hosts give a team too much at the same time.
CATCH_UP_HORIZON_S = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class TeamDemand:
    """Demand of a team for a divisible capacity.

    Attributes:
        weight: the team's share; greater than zero.
        demand: maximum that it can use, in the unit of the capacity.
    """

    team: str
    weight: float
    demand: float


def weighted_max_min(
    capacity: float, team_demands: Iterable[TeamDemand]
) -> dict[str, float]:
    """Return the exact weighted max-min division of a capacity by team.

    No team gets more than its demand. Capacity that a team doesn't need is
    divided between the other teams by weight.
    """
    ordered = sorted(team_demands, key=lambda item: item.demand / item.weight)
    weight = sum(item.weight for item in ordered)
    part_by_team = {}
    for item in ordered:
        part = min(item.demand, capacity * item.weight / weight)
        part_by_team[item.team] = part
        capacity -= part
        weight -= item.weight
    return part_by_team


class MaxMinDivision:
    """Max-min division of a capacity, prepared for queries by team.

    Each query takes logarithmic time.
    """

    def __init__(
        self, capacity: float, team_demands: Iterable[TeamDemand]
    ) -> None:
        self._capacity = capacity
        self._demand_by_team = {item.team: item for item in team_demands}
        ordered = sorted(
            self._demand_by_team.values(),
            key=lambda item: item.demand / item.weight,
        )
        self._levels = [item.demand / item.weight for item in ordered]
        self._demands = list(
            itertools.accumulate((c.demand for c in ordered), initial=0.0)
        )
        self._weights = list(
            itertools.accumulate((c.weight for c in ordered), initial=0.0)
        )

    def unbounded_part(self, team: str, weight: float) -> float:
        """Return the part a team would get if its demand were unbounded."""
        item = self._demand_by_team.get(team)
        demand = item.demand if item else 0.0

        def capacity_used_at(position: int) -> float:
            """Return the capacity used once the level at position is met."""
            level = self._levels[position]
            rest = self._weights[-1] - self._weights[position + 1]
            extra = weight * level - min(demand, weight * level)
            return self._demands[position + 1] + level * rest + extra

        position = bisect.bisect_left(
            range(len(self._levels)), self._capacity, key=capacity_used_at
        )
        # The first ``position`` demands are met in full. If this team is
        # among them, it is removed from the sums and added without a bound.
        left = self._capacity - self._demands[position]
        rest = self._weights[-1] - self._weights[position]
        if item is None:
            rest += weight
        elif bisect.bisect_left(self._levels, demand / weight) < position:
            left += demand
            rest += weight
        return left / rest * weight


def usage_level(used_s: float, weight: float) -> float:
    """Return a team's usage divided by its weight.

    Args:
        used_s: slot seconds used so far on all entry hosts, including
            those of running requests.
    """
    return used_s / weight


def service_rank(used_s: float, running: float, weight: float) -> float:
    """Return the rank of a team; the team with the lowest is served next.

    Args:
        used_s: as in ``usage_level``.
        running: number of requests that run now on all entry hosts.
    """
    return (used_s + CATCH_UP_HORIZON_S * running) / weight


def level_raise_after_idle(
    own_level: float, lowest_waiting_level: float | None
) -> float:
    """Return how much to raise a team's usage level when it begins to wait.

    The team starts at the lowest level of the teams that wait, so it gains
    no credit from the time in which it used less than its share.

    Args:
        lowest_waiting_level: lowest usage level of the waiting teams; None
            if no team waits.
    """
    if lowest_waiting_level is None:
        return 0.0
    return max(0.0, lowest_waiting_level - own_level)


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingTeam:
    """A team that waits for a pool.

    Attributes:
        entitled: slots that it is entitled to on all hosts.
        usage_level: its usage divided by its weight.
        local_fraction: fraction of its requests that are at this host.
    """

    weight: float
    entitled: float
    usage_level: float
    local_fraction: float


def mean_usage_level(waiting_teams: Sequence[WaitingTeam]) -> float:
    """Return the mean of the teams' usage levels, weighted by share."""
    weight = sum(item.weight for item in waiting_teams)
    if not weight:
        return 0.0
    return (
        sum(item.weight * item.usage_level for item in waiting_teams) / weight
    )


def slots_due(waiting_teams: Sequence[WaitingTeam]) -> float:
    """Return how many slots this host should use for the waiting teams.

    A team whose usage is below the mean gets more than it is entitled to,
    so that it catches up within the horizon.
    """
    mean = mean_usage_level(waiting_teams)
    return sum(
        item.local_fraction
        * max(
            0.0,
            item.entitled
            + (mean - item.usage_level) * item.weight / CATCH_UP_HORIZON_S,
        )
        for item in waiting_teams
    )
