"""Figures of leases and tasks, in virtual time with seeded faults.

The counts are totals over randomised runs with kills, pauses, outages, lost
and late writes, unreachable and failing workers, zones out, drains and bulk
cancellations. ``urgent.start`` is the longest wait of an urgent task in a
full pool whose controller is killed on submission; baseline: wait for a
free worker. ``store.outage`` is the work started in an hour without the
store, relative to full use; baseline: start nothing without the store.
``zone.work`` is the work done while one zone of two is taken out and
returned, relative to the capacity in use; baseline: let running tasks
finish and place no new ones until then.
"""

import collections
import concurrent.futures
import json
import pathlib
import sys

TESTS = pathlib.Path(__file__).resolve().parents[1] / "tests"
if str(TESTS) not in sys.path:
    sys.path.insert(0, str(TESTS))

from support import lease_world  # noqa: E402
from support import task_faults  # noqa: E402
from support import task_world  # noqa: E402

LEASE_SEEDS = range(100, 112)
FAULT_SEEDS = range(200, 212)
FAULTS_S = 300
OUTAGE_S = 3600
TASK_S = 90.0
# Four workers of 30 cores run 30 tasks of 4 cores at full speed.
PARALLEL_TASKS = 30


def run_leases(seed):
    world = lease_world.LeaseWorld(seed, ["c1", "c2", "c3"], ["p", "q"])
    world.run_faults(600)
    return len(world.violations)


def run_task_faults(seed):
    teams = {"mills": (1.0, 12), "shops": (2.0, 12)}
    world = task_world.TaskWorld(seed, teams=teams)
    fault_injector = task_faults.TaskFaultInjector(world)
    fault_injector.run(FAULTS_S)
    count_by_kind = collections.Counter(kind for kind, *_ in world.violations)
    allowed = {"finished", "failed", "cancelled", "unknown"}
    lost = sum(
        world.phase(task_id) not in allowed for task_id in world.submitted
    )
    return count_by_kind, lost


def measure_urgent(seed):
    world = task_world.TaskWorld(seed)
    world.run(6)
    for number in range(60):
        world.submit(f"f{number}", cores=7.0, memory_gb=8.0, run_s=50.0)
    world.run(4 + seed % 3)
    submitted_at = world.clock.seconds()
    world.submit("now", "shops", cores=20.0, memory_gb=8.0, urgent=True)
    world.kill_daemon(world.placing_daemon())
    world.run(12)
    return world.started_at.get("now", float("inf")) - submitted_at


def measure_outage():
    world = task_world.TaskWorld(5)
    world.run(6)
    for number in range(
        PARALLEL_TASKS * OUTAGE_S // int(TASK_S) + 2 * PARALLEL_TASKS
    ):
        world.submit(f"t{number}", cores=4.0, memory_gb=8.0, run_s=TASK_S)
    world.run(5)
    world.faults.down = True
    before = len(world.started_at)
    world.advance(OUTAGE_S, 0.2)
    started = len(world.started_at) - before
    whole = PARALLEL_TASKS * OUTAGE_S / TASK_S - PARALLEL_TASKS
    return min(1.0, started / whole)


def measure_zone(seed):
    world = task_world.TaskWorld(seed)
    world.run(6)
    for number in range(600):
        world.submit(f"t{number}", cores=4.0, memory_gb=8.0, run_s=30.0)
    world.run(20)
    done = 0.0
    possible = 0.0

    def work():
        nonlocal done, possible
        state = world.state
        for host in world.hosts:
            runs = len(world.workers[host.name].running)
            # Tasks that exceed a worker's processors slow down. A zone that
            # is out counts neither way, also while tasks stop there.
            if host.zone not in state.zones_out:
                done += min(30.0, 4.0 * runs)
                possible += 30.0

    for zones_out, seconds in ((("az-a",), 60), ((), 60)):
        world.change_state(zones_out=zones_out)
        world.advance(seconds, 0.1, work)
    return done / possible


def run():
    """Return each figure with its bound, baseline and ideal."""
    with concurrent.futures.ProcessPoolExecutor(4) as pool:
        outage = pool.submit(measure_outage)
        double_holders = sum(pool.map(run_leases, LEASE_SEEDS))
        fault_injector = list(pool.map(run_task_faults, FAULT_SEEDS))
        urgent = max(pool.map(measure_urgent, range(9)))
        zone = min(pool.map(measure_zone, range(3)))
        outage = outage.result()
    count_by_kind = sum(
        (found for found, _ in fault_injector), collections.Counter()
    )
    counts = {
        "lease.double_holder": double_holders,
        "task.lost": sum(lost for _, lost in fault_injector),
        "task.duplicates": count_by_kind["twice"]
        + count_by_kind["at-most-once"],
        "task.over_limit": count_by_kind["limit"],
        "zone.late_starts": count_by_kind["zone"],
    }
    figures = [
        _figure(name, value, "count", 0, "lower", None, 0)
        for name, value in counts.items()
    ]
    figures += [
        _figure("urgent.start", urgent, "s", 5.4, "lower", 50.0, 0.0),
        _figure("store.outage", outage, "ratio", 0.95, "higher", 0.0, 1.0),
        # Without checkpoints, workers of the returned zone would be idle
        # for up to one task, 30 s of the 120 s.
        _figure("zone.work", zone, "ratio", 0.95, "higher", None, 1.0),
    ]
    return figures


def _figure(name, value, unit, bound, better, baseline, ideal):
    return {
        "name": name,
        "value": round(value, 4),
        "unit": unit,
        "bound": bound,
        "better": better,
        "baseline": baseline,
        "ideal": ideal,
    }


if __name__ == "__main__":
    print(json.dumps(run(), indent=1))
