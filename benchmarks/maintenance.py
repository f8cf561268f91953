"""Figures of budgets, moves, waves and buffers, seeded, in virtual time.

``wave.time.ratio`` is the time of a wave divided by that of the fewest
rounds that the budgets allow; ``wave.time.ratio.trouble`` is the same with
1% of the hosts failing and a zone lost for an hour halfway. Baseline: one
host of each pool at a time. ``moves.ratio`` is the number of moved hosts
divided by the fewest that remove all shortages; ``moves.idle`` is the
number of hosts moved while nothing changes, ``moves.idle.waver`` the part
of the hosts moved while the need varies by 1% for a day; baseline: hosts
follow the need exactly. ``buffer.ratio`` is the number of spare hosts
divided by the fewest that cover the worst zone; baseline: each pool keeps
its own.
``plan.seconds.ratio`` compares planning for 20,000 hosts and 32 pools with
2,000 and 4.
"""

import dataclasses
import json
import math
import pathlib
import random
import sys
import time

TESTS = pathlib.Path(__file__).resolve().parents[1] / "tests"
if str(TESTS) not in sys.path:
    sys.path.insert(0, str(TESTS))

from azurevane._internal.models import manifest  # noqa: E402
from azurevane._internal.policy import budgets  # noqa: E402
from azurevane._internal.policy import buffers  # noqa: E402
from azurevane._internal.policy import moves  # noqa: E402
from azurevane._internal.policy import waves  # noqa: E402
from support import wave_world  # noqa: E402

TIMED = True
BUDGET = manifest.Budget(pool=12, rack=2, zone=4)
ZONES = 4


def make_hosts(count, pools):
    return [
        manifest.Host(
            f"h{i}", f"p{i % pools}", f"z{(i // pools) % ZONES}",
            f"r{i // (4 * pools)}", 30.0, 130.0,
        )
        for i in range(count)
    ]  # fmt: skip


def build_budgets(pools):
    return {f"p{i}": BUDGET for i in range(pools)}


def run_wave(seed, with_failures):
    rng = random.Random(seed)
    hosts = make_hosts(2000, 4)
    wave = waves.Wave("w", 0.0)
    fewest = (
        waves.rounds_left(wave, hosts, build_budgets(4))
        * wave_world.MAINTENANCE_S
    )
    losses = []
    if with_failures:
        losses = [
            (rng.uniform(0, fewest), host.name, 3600.0)
            for host in rng.sample(hosts, len(hosts) // 100)
        ]
        losses += [
            (fewest / 2, host.name, 3600.0)
            for host in hosts
            if host.zone == "z1"
        ]
    done = wave_world.run_wave(
        hosts, build_budgets(4), wave, losses=losses, chance=rng
    )
    assert len(done.wave.done) == len(hosts)
    violations = done.budget_violations
    return done.seconds / fewest, violations


def measure_moves(seed):
    """Return the hosts moved until no pool is short, and the fewest."""
    rng = random.Random(seed)
    hosts = make_hosts(400, 4)
    hosts += [
        manifest.Host(f"s{i}", "spare", f"z{i}", "r", 30.0, 130.0)
        for i in range(4)
    ]
    demand = {"p0": 40.0, "p1": 55.0}
    demand |= {f"p{i}": float(rng.randint(76, 84)) for i in (2, 3)}
    deficits = buffers.deficits_by_zone(hosts, demand, {})
    needed = buffers.spare_needed_by_zone(deficits)
    # Each spare host covers the loss of any zone but its own.
    fewest = math.ceil(sum(needed.values()) / (ZONES - 1)) - 4
    moved = 0
    for _ in range(10):
        planned = buffers.plan_buffers(hosts, demand, {}, "spare")
        moved += apply_moves(hosts, planned)
    assert not planned.moves and not planned.shortage_by_pool, planned
    return moved, fewest


def apply_moves(hosts, planned):
    """Move hosts, first from the zone with the most movable hosts."""
    moved = 0
    movable = dict(planned.movable_by_zone)
    for number, source, target in planned.moves:
        for _ in range(number):
            zone = max(movable, key=movable.get)
            movable[zone] -= 1
            index = next(
                i
                for i, host in enumerate(hosts)
                if host.pool == source and host.zone == zone
            )
            hosts[index] = dataclasses.replace(hosts[index], pool=target)
            moved += 1
    return moved


def measure_buffer(seed):
    rng = random.Random(seed)
    hosts = make_hosts(400, 4)
    demand = {f"p{i}": float(rng.randint(78, 95)) for i in range(4)}
    deficits = buffers.deficits_by_zone(hosts, demand, {})
    least = max(sum(by_pool.values()) for by_pool in deficits.values())
    # The spare hosts are spread evenly, so a lost zone takes some of them.
    spare = math.ceil(least * ZONES / (ZONES - 1))
    hosts += [
        manifest.Host(f"s{i}", "spare", f"z{i % ZONES}", "r", 30.0, 130.0)
        for i in range(spare)
    ]
    planned = buffers.plan_buffers(hosts, demand, {}, "spare")
    own = sum(
        math.ceil(
            max(deficits[zone][pool] for zone in deficits) * ZONES
            / (ZONES - 1)
        )
        for pool in demand
    )  # fmt: skip
    return planned.spare / spare, own / spare


def measure_idle(seed):
    hosts = make_hosts(480, 4)
    hosts += [
        manifest.Host(f"s{i}", "spare", f"z{i % ZONES}", "r", 30.0, 130.0)
        for i in range(40)
    ]
    names = [f"p{i}" for i in range(4)]
    count = 24 * 60
    moves_when_varying = wave_world.count_moves_for_fluctuating_need(
        hosts, names, 90.0, count, seed
    )
    moves_at_rest = sum(
        number
        for number, _, _ in buffers.plan_buffers(
            hosts, dict.fromkeys(names, 90.0), {}, "spare"
        ).moves
    )
    return moves_at_rest, moves_when_varying / len(hosts)


def plan_seconds(count, pools):
    hosts = make_hosts(count, pools)
    demand = dict.fromkeys(build_budgets(pools), 0.7 * count / pools)
    best = float("inf")
    for _ in range(3):
        started = time.perf_counter()
        ledger = budgets.BudgetLedger(hosts, build_budgets(pools))
        waves.choose_stops(waves.Wave("w", 0.0), hosts, ledger)
        buffers.plan_buffers(hosts, demand, {}, "p0")
        best = min(best, time.perf_counter() - started)
    return best


def count_two_pools(seed):
    """Return how often a host's pool is wrong during random moves."""
    rng = random.Random(seed)
    record = moves.Assignment("h", "a")
    wrong = 0
    for number in range(300):
        target = rng.choice("abc")
        begun = moves.begin_move(f"m{number}", record, target)
        if begun is None:
            continue
        record, move = begun
        while record.move:
            facts = moves.Facts(
                rng.random() < 0.7,
                rng.randint(0, 1),
                rng.random() < 0.9,
                rng.random() < 0.7,
            )
            after = moves.advance_move(move, record, facts)
            if after is None:
                continue
            record, move = after
            expected = (
                move.target if move.step in ("return", "done") else move.source
            )
            wrong += record.pool != expected
    return wrong


def run():
    """Return each figure with its bound, baseline and ideal."""
    without_failures = [run_wave(seed, False) for seed in range(2)]
    failing = [run_wave(seed, True) for seed in range(2)]
    serial_ratio = 500 / waves.rounds_left(
        waves.Wave("w", 0.0), make_hosts(2000, 4), build_budgets(4)
    )
    moved = [measure_moves(seed) for seed in range(20)]
    buffer = [measure_buffer(seed) for seed in range(20)]
    idle = [measure_idle(seed) for seed in range(2)]
    small, large = plan_seconds(2000, 4), plan_seconds(20_000, 32)
    rows = (
        ("budget.violations",
         sum(b for _, b in without_failures + failing), "count", 0, None, 0),
        ("host.two_pools", sum(count_two_pools(s) for s in range(10)),
         "count", 0, None, 0),
        ("wave.time.ratio", max(r for r, _ in without_failures), "ratio",
         1.15, serial_ratio, 1.0),
        ("wave.time.ratio.trouble", max(r for r, _ in failing), "ratio",
         1.3, serial_ratio, 1.0),
        ("moves.ratio",
         sum(m for m, _ in moved) / max(1, sum(f for _, f in moved)),
         "ratio", 1.1, None, 1.0),
        ("moves.idle", max(s for s, _ in idle), "hosts", 0, None, 0),
        ("moves.idle.waver", max(w for _, w in idle), "ratio", 0.005, None,
         0),
        ("buffer.ratio", max(b for b, _ in buffer), "ratio", 1.1,
         max(o for _, o in buffer), 1.0),
        ("plan.seconds.ratio", large / small, "ratio", 15, None, 10),
    )  # fmt: skip
    return [
        {
            "name": name,
            "value": round(value, 4),
            "unit": unit,
            "bound": bound,
            "better": "lower",
            "baseline": baseline,
            "ideal": ideal,
        }
        for name, value, unit, bound, baseline, ideal in rows
    ]


if __name__ == "__main__":
    print(json.dumps(run(), indent=1))
