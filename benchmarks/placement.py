"""Figures of placement: packing in virtual time, and time per placement.

``place.packing`` is the actual use of each worker's most used resource in
a pool with enough tasks: the mean over the workers and the steady phase,
with declared sizes wrong by a factor of up to 4. Baseline: first fit by
declared sizes, before any task has ended. ``place.us`` is the mean time of
a placement in a nearly full pool of 20,000 workers; baseline: a scan of
all workers.
"""

import json
import pathlib
import random
import sys
import time

TESTS = pathlib.Path(__file__).resolve().parents[1] / "tests"
if str(TESTS) not in sys.path:
    sys.path.insert(0, str(TESTS))

import msgspec  # noqa: E402

from azurevane._internal.models import control  # noqa: E402
from azurevane._internal.models import manifest  # noqa: E402
from azurevane._internal.models import rows  # noqa: E402
from azurevane._internal.models import task as task_models  # noqa: E402
from azurevane._internal.models import worker as worker_models  # noqa: E402
from azurevane._internal.policy import worker_index  # noqa: E402
from azurevane._internal.tasks import controller_lease  # noqa: E402
from azurevane._internal.tasks import placer as placer_module  # noqa: E402
from azurevane._internal.tasks import task_ledger  # noqa: E402
from azurevane._internal.tasks import task_registry  # noqa: E402
from support import task_world  # noqa: E402

TIMED = True
WORKERS = 24
LARGE_POOL_WORKERS = 20_000
FILL_TASKS = 80_000
STEADY_FROM_S = 60
STEADY_S = 240


def draw_tasks(seed, count):
    """Yield declared size, actual size and run time of random tasks.

    A declared size is wrong by a factor of up to 4.
    """
    rng = random.Random(seed)
    for _ in range(count):
        cores = rng.uniform(1, 8)
        memory = cores * 4.3 * rng.choice((0.5, 1.0, 1.5))
        error_factor = 4 ** rng.uniform(-1, 1)
        declared = (
            min(30.0, cores * error_factor),
            min(130.0, memory * error_factor),
        )
        yield declared, (cores, memory), rng.uniform(20, 120)


def measure_packing(seed):
    world = task_world.TaskWorld(
        seed, teams={"mills": (1.0, 4000)}, workers=WORKERS
    )
    world.run(6)
    for number, (declared, true, run_s) in enumerate(draw_tasks(seed, 1500)):
        world.submit(
            f"t{number}",
            cores=declared[0],
            memory_gb=declared[1],
            run_s=run_s,
            actual={"cores": true[0], "memory_gb": true[1], "run_s": run_s},
        )
    world.advance(STEADY_FROM_S, 0.2)
    used_parts = []

    def sample():
        for worker in world.workers.values():
            used = [run.used for run in worker.running]
            # Use above the worker's processors isn't counted.
            cores = min(1.0, sum(item.cores for item in used) / 30.0)
            memory = sum(item.memory_gb for item in used) / 130.0
            used_parts.append(max(cores, memory))

    world.advance(STEADY_S, 0.2, sample)
    return sum(used_parts) / len(used_parts)


def measure_first_fit(seed):
    """Return the packing of first fit by declared sizes at the start."""
    free = [[30.0, 130.0] for _ in range(WORKERS)]
    used = [[0.0, 0.0] for _ in range(WORKERS)]
    for declared, true, _ in draw_tasks(seed, 600):
        for left, taken in zip(free, used, strict=True):
            if left[0] >= declared[0] and left[1] >= declared[1]:
                for part in (0, 1):
                    left[part] -= declared[part]
                    taken[part] += true[part]
                break
    return (
        sum(
            min(1.0, max(cores / 30.0, memory / 130.0))
            for cores, memory in used
        )
        / WORKERS
    )


def build_large_placer():
    hosts = tuple(
        manifest.Host(f"w{i}", "p", f"z{i % 4}", f"r{i // 4}", 30.0, 130.0)
        for i in range(LARGE_POOL_WORKERS)
    )
    teams = (manifest.Team("a", 1.0, 10**6, 10**6),)
    placer = placer_module.Placer(
        "p",
        controller_lease.HeldLease(1, 1, 1, 1e9),
        task_ledger.TaskLedger(),
        lambda: "token",
    )
    placer.configure(0.0, control.PoolView("p", hosts, teams))
    placer.set_fresh_until(float("inf"))
    placer.load_records(0.0, [], None, False)
    reports = [
        worker_models.WorkerReport(host.name, 1, 1, (), ()) for host in hosts
    ]
    placer.merge_reports(0.0, reports)
    return placer


def submit(placer, rng, first, count):
    for number in range(first, first + count):
        task = task_models.Task(
            f"t{number}",
            "q",
            "a",
            60.0,
            cores=rng.uniform(1, 8),
            memory_gb=rng.uniform(2, 40),
            submitted_at=float(number),
        )
        row = rows.StoredRow("r", 1, msgspec.to_builtins(task))
        placer.handle_submission(1.0, row, f"inbox/p/submit/t{number}")


def measure_time():
    """Return mean microseconds of a placement, ticks included."""
    rng = random.Random(1)
    placer = build_large_placer()
    # Fill most of the pool first; the limit of pending writes isn't measured.
    task_registry.MAX_UNWRITTEN_CHANGES = 10**9
    submit(placer, rng, 0, FILL_TASKS)
    placer.tick(1.0, True)
    before = sum(
        r.start_sent for r in placer.control.tasks.record_by_id.values()
    )
    submit(placer, rng, 200_000, 4_000)
    started = time.perf_counter()
    placer.tick(1.2, True)
    elapsed = time.perf_counter() - started
    after = sum(
        r.start_sent for r in placer.control.tasks.record_by_id.values()
    )
    return elapsed / max(1, after - before) * 1e6, after - before


def measure_scan():
    """Return mean microseconds of a best fit that scans all workers."""
    rng = random.Random(1)
    capacity = task_models.Need(30.0, 130.0)
    free = {
        f"w{i}": task_models.Need(rng.uniform(0, 6), rng.uniform(0, 40))
        for i in range(LARGE_POOL_WORKERS)
    }
    started = time.perf_counter()
    for _ in range(20):
        need = task_models.Need(rng.uniform(1, 6), rng.uniform(2, 30))
        min(
            worker_index.unused_capacity_score(item, need, capacity)
            for item in free.values()
            if item.covers(need)
        )
    return (time.perf_counter() - started) / 20 * 1e6


def run():
    """Return each figure with its bound, baseline and ideal."""
    microseconds, _ = measure_time()
    return [
        {
            "name": "place.packing",
            "value": round(min(measure_packing(s) for s in (1, 2)), 4),
            "unit": "ratio",
            "bound": 0.9,
            "better": "higher",
            "baseline": round(min(measure_first_fit(s) for s in (1, 2)), 4),
            "ideal": 1.0,
        },
        {
            "name": "place.us",
            "value": round(microseconds, 1),
            "unit": "us",
            "bound": 200,
            "better": "lower",
            "baseline": round(measure_scan(), 1),
            "ideal": 0,
        },
    ]


if __name__ == "__main__":
    print(json.dumps(run(), indent=1))
