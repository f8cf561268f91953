"""Maintenance waves: each host once, in groups that the budgets allow."""

import collections
from collections.abc import Iterable, Mapping
import dataclasses
import math

from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.policy import budgets

WAVE_PERIOD_S = 6 * 7 * 24 * 3600.0
# A failure within this time of a host's maintenance may be caused by it.
BLAME_WINDOW_S = 1800.0
MIN_BLAMED_FAILURES = 3
# Ratio of the failure rates of maintained and other hosts that pauses a wave.
# With 3 failures, a ratio of 4 occurs by chance in fewer than 1 of 100 cases.
PAUSE_RATIO = 4.0


@dataclasses.dataclass(frozen=True)
class Wave:
    """Progress of one round of maintenance.

    It is stored as a row of the table, so that another controller can
    resume the wave.

    Attributes:
        done: hosts that have returned from their maintenance.
        paused: why no more hosts are stopped; empty while the wave runs.
        blamed: failures within ``BLAME_WINDOW_S`` of a host's maintenance.
        others: failures of hosts that weren't maintained in that time.
        treated_s: host seconds within ``BLAME_WINDOW_S`` of a maintenance.
        untreated_s: host seconds of the other hosts.
    """

    name: str
    started_at: float
    done: frozenset[str] = frozenset()
    paused: str = ""
    blamed: int = 0
    others: int = 0
    treated_s: float = 0.0
    untreated_s: float = 0.0


def choose_stops(
    wave: Wave,
    hosts: Iterable[manifest_models.Host],
    ledger: budgets.BudgetLedger,
) -> tuple[str, ...]:
    """Return the hosts to stop now, and count them in the ledger.

    The pool, zone or rack with the most hosts left determines how long the
    wave takes, so its hosts come first.
    """
    if wave.paused:
        return ()
    left = [host for host in hosts if host.name not in wave.done]
    by_pool = collections.Counter(host.pool for host in left)
    by_rack = collections.Counter((host.pool, host.rack) for host in left)
    by_zone = collections.Counter((host.pool, host.zone) for host in left)
    left.sort(
        key=lambda host: (
            -by_pool[host.pool],
            -by_zone[host.pool, host.zone],
            -by_rack[host.pool, host.rack],
            host.name,
        )
    )
    chosen = []
    for host in left:
        if ledger.may_stop(host.name):
            ledger.begin_stop(host.name, f"wave {wave.name}")
            chosen.append(host.name)
    return tuple(chosen)


def with_host_done(wave: Wave, host: str) -> Wave:
    """Return the wave with one more host maintained."""
    return dataclasses.replace(wave, done=wave.done | {host})


def with_failures(
    wave: Wave,
    blamed: int,
    others: int,
    treated_s: float,
    untreated_s: float,
) -> Wave:
    """Return the wave with failures added.

    The wave is paused if hosts fail ``PAUSE_RATIO`` times as often after
    their maintenance as other hosts do.
    """
    updated = dataclasses.replace(
        wave,
        blamed=wave.blamed + blamed,
        others=wave.others + others,
        treated_s=wave.treated_s + treated_s,
        untreated_s=wave.untreated_s + untreated_s,
    )
    if (
        updated.paused
        or updated.blamed < MIN_BLAMED_FAILURES
        or not updated.treated_s
    ):
        return updated
    # One failure is added to those of other hosts, so that a wave with few
    # hosts or a start without failures isn't paused by any failure.
    usual_rate = (updated.others + 1) / max(
        updated.untreated_s, updated.treated_s
    )
    ratio = (updated.blamed / updated.treated_s) / usual_rate
    if ratio < PAUSE_RATIO:
        return updated
    return dataclasses.replace(
        updated,
        paused=(
            f"{updated.blamed} hosts failed within {BLAME_WINDOW_S:g} s of"
            f" their maintenance, {ratio:.1f} times the usual rate"
        ),
    )


def resume_wave(wave: Wave) -> Wave:
    """Return the wave unpaused, with its failure counts reset."""
    return dataclasses.replace(
        wave, paused="", blamed=0, others=0, treated_s=0.0, untreated_s=0.0
    )


def rounds_left(
    wave: Wave,
    hosts: Iterable[manifest_models.Host],
    budget_by_pool: Mapping[str, manifest_models.Budget],
) -> int:
    """Return the fewest groups in which the remaining hosts fit."""
    count_by_key: collections.Counter[tuple[str, str, str]] = (
        collections.Counter()
    )
    for host in hosts:
        if host.name not in wave.done:
            count_by_key["pool", host.pool, ""] += 1
            count_by_key["rack", host.pool, host.rack] += 1
            count_by_key["zone", host.pool, host.zone] += 1
    return max(
        (
            math.ceil(count / max(1, getattr(budget_by_pool[pool], kind)))
            for (kind, pool, _), count in count_by_key.items()
        ),
        default=0,
    )


def estimate_end(
    now: float,
    wave: Wave,
    hosts: Iterable[manifest_models.Host],
    budget_by_pool: Mapping[str, manifest_models.Budget],
    round_s: float,
) -> float:
    """Return when the wave is expected to end.

    Args:
        round_s: mean time for which a host is unavailable for maintenance.
    """
    return now + rounds_left(wave, hosts, budget_by_pool) * round_s
