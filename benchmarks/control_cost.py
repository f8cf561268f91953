"""Processor time and memory that control adds to an entry process.

Six hosts of a region apply the fleet's 40,000 changes a day in virtual
time; their processor time per virtual second at several sizes is fitted
with a line. Memory is that of the state keeper, the permit keeper and the
dispatcher for a region. The fakes at the interfaces are included, so the
figures are upper bounds. The baseline is the same process without control,
with no time and no memory of these parts.
"""

import random
import statistics
import time
import tracemalloc

import configuration

from azurevane._internal.models import fleet
from azurevane._internal.operators import manifest_check
from azurevane._internal.tasks import dispatcher
from azurevane._internal.tasks import permit_keeper
from azurevane._internal.tasks import state_keeper

TIMED = True

WORKERS_PER_REGION = 4000
SIZES = (500, 1000, 2000, 4000)
MEASURED_S = 120.0
RUNNERS = 500
CPU_BOUND_CORES = 0.016
MEMORY_BOUND_MB = 32.0
MEGABYTE = 1_000_000


def region_manifest(workers):
    manifest = configuration.two_year_manifest()
    manifest["hosts"] = manifest["hosts"][:workers]
    manifest["runners"] = [
        {
            "name": f"runner-{index}",
            "pool": "pool-1",
            "zone": manifest["zones"][index % 3],
            "address": "127.0.0.1",
            "port": 20000 + index,
        }
        for index in range(RUNNERS)
    ]
    return manifest


def cpu_share(workers, seed=1):
    """Return the part of a core that control uses on one host."""
    rng = random.Random(seed)
    region = configuration.Region(seed, region_manifest(workers))
    region.run(5)
    started = time.process_time()
    began = region.clock.seconds()
    end = began + MEASURED_S
    while region.clock.seconds() < end:
        region.run(rng.expovariate(configuration.CHANGES_A_DAY / 86400))
        number = rng.randrange(workers)
        kind = rng.choice(("drain", "return"))
        region.make_timed(rng, kind, {"name": f"host-{number}"})
    elapsed_s = region.clock.seconds() - began
    return (time.process_time() - started) / elapsed_s / len(region.names)


def memory_mb(workers):
    """Return the memory of one host's control state, in MB."""
    manifest = region_manifest(workers)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    state = fleet.FleetState(
        version=1,
        manifest=manifest_check.parse_manifest(manifest),
        seats=tuple(
            fleet.Seat(number, f"e{number}", "i", 1) for number in range(6)
        ),
    )
    keeper = state_keeper.StateKeeper("e0", "i", ("e1", "e2"), 0.0)
    keeper.offer(0.0, state, 1, "store")
    permits = permit_keeper.PermitKeeper("e0", "i")
    permits.configure(0.0, state)
    request_dispatcher = dispatcher.Dispatcher(permits, manifest["zones"][0])
    request_dispatcher.configure(0.0, state)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / MEGABYTE


def fit(values):
    """Return slope per 1,000 workers, base, and the largest residual."""
    sizes = [size / 1000 for size in SIZES]
    line = statistics.linear_regression(sizes, values)
    residual = max(
        abs(value - line.intercept - line.slope * size)
        for size, value in zip(sizes, values, strict=True)
    )
    return line.slope, line.intercept, residual


def run():
    cpu = [cpu_share(size) for size in SIZES]
    memory = [memory_mb(size) for size in SIZES]
    rows = []
    for name, values, unit, bound in (
        ("control.cpu", cpu, "cores", CPU_BOUND_CORES),
        ("control.memory", memory, "MB", MEMORY_BOUND_MB),
    ):
        slope, base, residual = fit(values)
        figures = {
            name: (values[-1], bound),
            f"{name}.slope": (slope, None),
            f"{name}.base": (base, None),
            f"{name}.residual": (residual, None),
        }
        for key, (value, limit) in figures.items():
            rows.append(
                {
                    "name": key,
                    "value": value,
                    "unit": unit,
                    "bound": limit,
                    "better": "lower",
                    "baseline": 0.0,
                }
            )
    return rows
