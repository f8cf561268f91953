"""Shares of teams in the capacity of all pools, for use under scarcity.

A team's account is what its runs held, averaged with exponentially decaying
weight. Its dominant share is the largest part that this is of any resource of
all pools. The accounts change the order only while more waits than fits, and
only within the classes of ``job_order``: there, the time that is left to a
job counts longer by a factor that grows with its team's excess over its
weighted share. A job that can still end in time therefore never waits for one
that can't.
"""

from collections.abc import Mapping, Sequence
import math

from azurevane._internal.models import job as job_models

# Time constant of the accounts: some times the run time of a job, so that a
# team doesn't lead again between two of its jobs, and about a busy period, so
# that it doesn't pay for what it used while there was room for all.
ACCOUNT_S = 10.0
# The factor is the root of a team's part of its weighted share. The part
# itself helps the worst-served teams no more, but costs jobs of other teams
# that have little time left.
EXPONENT = 0.5
# Teams within this factor of their weighted shares, above or below, count as
# being at them. Some difference is due to the sizes of single jobs, and each
# change of the order of urgency makes some job late.
TOLERANCE = 1.5
# Bound on the part beyond that, above or below. Beyond it urgency decides
# between two teams.
MAX_PART = 4.0
# A team with less than this part of the capacity counts as having this much:
# one task more or less says nothing about it.
MIN_SHARE = 0.001


def average_held(
    average: Sequence[float], held: Sequence[int], elapsed_s: float
) -> tuple[float, ...]:
    """Return an account after some time in which the same was held."""
    kept = math.exp(-max(elapsed_s, 0.0) / ACCOUNT_S)
    return tuple(
        now + (before - now) * kept
        for before, now in zip(average, held, strict=True)
    )


def dominant_share(
    average: Sequence[float], capacity: job_models.Capacity
) -> float:
    """Return the largest part that an account is of any resource."""
    totals = capacity.cpu, capacity.memory, capacity.gpu
    return max(
        (
            amount / total
            for amount, total in zip(average, totals, strict=False)
            if total
        ),
        default=0.0,
    )


def factor_by_team(
    account_by_team: Mapping[str, Sequence[float]],
    weight_by_team: Mapping[str, float],
    capacity: job_models.Capacity,
) -> dict[str, float]:
    """Return the factor on the time left to each team's jobs.

    It is above 1 for teams above their weighted share.

    Args:
        account_by_team: average amounts of processor, memory and
            accelerators.
        weight_by_team: weights of the teams that compete.
        capacity: that of all pools.
    """
    share_by_team = {
        team: max(
            dominant_share(account_by_team.get(team, ()), capacity), MIN_SHARE
        )
        for team, weight in weight_by_team.items()
        if weight > 0
    }
    total_share = sum(share_by_team.values())
    total_weight = sum(weight_by_team[team] for team in share_by_team)
    factors = {}
    for team, share in share_by_team.items():
        fair_share = total_share * weight_by_team[team] / total_weight
        factors[team] = _factor(share / fair_share)
    return factors


def _factor(part: float) -> float:
    """Return the factor of a team with this part of its weighted share."""
    if part < 1.0:
        return 1.0 / _factor(1.0 / part)
    excess = min(max(part / TOLERANCE, 1.0), MAX_PART)
    return float(excess**EXPONENT)


def is_scarce(waiting: job_models.Capacity, free: job_models.Capacity) -> bool:
    """Whether more waits than fits."""
    return (
        waiting.cpu > free.cpu
        or waiting.memory > free.memory
        or waiting.gpu > free.gpu
    )
