"""Simulates maintenance waves and spare-host planning in virtual time."""

import collections
import dataclasses
import heapq
import random

from azurevane._internal.policy import budgets
from azurevane._internal.policy import buffers
from azurevane._internal.policy import waves

MAINTENANCE_S = 600.0


@dataclasses.dataclass
class WaveResult:
    wave: waves.Wave
    seconds: float
    maintenance_count_by_host: collections.Counter
    budget_violations: int


def run_wave(
    hosts,
    budget_by_pool,
    wave,
    *,
    until=1.0,
    losses=(),
    maintenance_s=MAINTENANCE_S,
    chance=None,
):
    """Simulate a wave.

    Args:
        until: fraction of the hosts after which the simulation ends.
        losses: (time, host, seconds unavailable) of each unplanned loss.
        chance: source of randomness that varies the maintenance time.
    """
    ledger = budgets.BudgetLedger(hosts, budget_by_pool)
    maintenance_count_by_host = collections.Counter()
    events = [(at, 1, host, seconds) for at, host, seconds in losses]
    heapq.heapify(events)
    now, budget_violations, maintained = 0.0, 0, set()
    planned = set()
    while len(wave.done) < until * len(hosts):
        over = set(ledger.exceeded_budgets())
        for host in waves.choose_stops(wave, hosts, ledger):
            assert host not in wave.done, "a host was stopped twice"
            planned.add(host)
            length = maintenance_s * (
                chance.uniform(0.9, 1.1) if chance else 1.0
            )
            heapq.heappush(events, (now + length, 0, host, 0.0))
        budget_violations += len(set(ledger.exceeded_budgets()) - over)
        now, kind, host, seconds = heapq.heappop(events)
        if kind == 1 and host not in planned:
            ledger.mark_unavailable(host, "lost")
            heapq.heappush(events, (now + seconds, 2, host, 0.0))
        elif kind == 0:
            planned.discard(host)
            maintained.add(host)
            maintenance_count_by_host[host] += 1
            ledger.mark_available(host)
            wave = waves.with_host_done(wave, host)
        elif kind == 2:
            ledger.mark_available(host)
    return WaveResult(wave, now, maintenance_count_by_host, budget_violations)


def count_moves_for_fluctuating_need(hosts, names, need, count, seed):
    """Return how many hosts move while the need fluctuates by 1%."""
    chance = random.Random(seed)
    hosts = list(hosts)
    moved = 0
    for _ in range(count):
        demand = {
            name: need * (1 + chance.uniform(-0.01, 0.01)) for name in names
        }
        plan = buffers.plan_buffers(hosts, demand, {}, "spare")
        for number, source, target in plan.moves:
            moved += number
            for index, host in enumerate(hosts):
                if host.pool == source and number:
                    hosts[index] = dataclasses.replace(host, pool=target)
                    number -= 1
    return moved
