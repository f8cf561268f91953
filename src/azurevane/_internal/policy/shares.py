"""Weighted max-min fairness: who gets the next slot of a pool."""

import bisect
from collections.abc import Iterable, Sequence
import dataclasses
import itertools

# A running request is charged this far ahead, so that slots which become
# free at the same time don't all go to one team. The charge is the same for
# every team and is given back when the run ends, so it favours nobody. It
# must exceed the 0.1 s after which counters of other hosts arrive, or the
# hosts overshoot together.
HORIZON_S = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """What a team could use of a divisible capacity.

    Attributes:
        weight: share; greater than zero.
        demand: most it can use, in the unit of the capacity.
    """

    team: str
    weight: float
    demand: float


def weighted_max_min(
    capacity: float, claims: Iterable[Claim]
) -> dict[str, float]:
    """Return the exact weighted max-min division of a capacity by team.

    No team gets more than its demand. What a team leaves is divided among
    the others by weight.
    """
    ordered = sorted(claims, key=lambda claim: claim.demand / claim.weight)
    weight = sum(claim.weight for claim in ordered)
    part_by_team = {}
    for claim in ordered:
        part = min(claim.demand, capacity * claim.weight / weight)
        part_by_team[claim.team] = part
        capacity -= part
        weight -= claim.weight
    return part_by_team


class Division:
    """What each team would get of a capacity if it asked for more.

    Built once for many questions, each of which takes logarithmic time.
    """

    def __init__(self, capacity: float, claims: Iterable[Claim]) -> None:
        self._capacity = capacity
        self._claim_by_team = {claim.team: claim for claim in claims}
        ordered = sorted(
            self._claim_by_team.values(),
            key=lambda claim: claim.demand / claim.weight,
        )
        self._levels = [claim.demand / claim.weight for claim in ordered]
        self._demands = list(
            itertools.accumulate((c.demand for c in ordered), initial=0.0)
        )
        self._weights = list(
            itertools.accumulate((c.weight for c in ordered), initial=0.0)
        )

    def part(self, team: str, weight: float) -> float:
        """Return the part of a team whose demand has no bound."""
        claim = self._claim_by_team.get(team)
        demand = claim.demand if claim else 0.0

        def spent(place: int) -> float:
            level = self._levels[place]
            rest = self._weights[-1] - self._weights[place + 1]
            extra = weight * level - min(demand, weight * level)
            return self._demands[place + 1] + level * rest + extra

        place = bisect.bisect_left(
            range(len(self._levels)), self._capacity, key=spent
        )
        # The first ``place`` claims are met in full; this team, if among
        # them, is taken out of the sums and put back without a bound.
        left = self._capacity - self._demands[place]
        rest = self._weights[-1] - self._weights[place]
        if claim is None:
            rest += weight
        elif bisect.bisect_left(self._levels, demand / weight) < place:
            left += demand
            rest += weight
        return left / rest * weight


def level(used_s: float, weight: float) -> float:
    """Return what a team has used by its weight.

    Args:
        used_s: slot seconds used on all entry hosts so far, with those of
            requests that still run.
    """
    return used_s / weight


def rank(used_s: float, running: float, weight: float) -> float:
    """Return a team's place in the order of service; the lowest is next.

    Args:
        used_s: as in ``level``.
        running: requests that run now on all entry hosts.
    """
    return (used_s + HORIZON_S * running) / weight


def raise_on_return(own_level: float, level_waiting: float | None) -> float:
    """Return by how much a team rises when it begins to wait.

    It starts level with the lowest of the teams that wait, so that the time
    in which it asked for less than its share earns it nothing.
    """
    if level_waiting is None:
        return 0.0
    return max(0.0, level_waiting - own_level)


@dataclasses.dataclass(frozen=True, slots=True)
class Contender:
    """A team that waits for a pool.

    Attributes:
        entitled: slots that it is entitled to on all hosts.
        level: what it has used by its weight.
        part: part of its requests that is at this host.
    """

    weight: float
    entitled: float
    level: float
    part: float


def mean_level(contenders: Sequence[Contender]) -> float:
    """Return the mean of the teams' levels by weight."""
    weight = sum(item.weight for item in contenders)
    if not weight:
        return 0.0
    return sum(item.weight * item.level for item in contenders) / weight


def slots_due(contenders: Sequence[Contender]) -> float:
    """Return how many slots a host is due for the teams that wait.

    A team that is behind the others is due more than it is entitled to,
    so that it catches up within the horizon.
    """
    mean = mean_level(contenders)
    return sum(
        item.part
        * max(
            0.0,
            item.entitled + (mean - item.level) * item.weight / HORIZON_S,
        )
        for item in contenders
    )
