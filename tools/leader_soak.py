"""Run seeded series of leader changes in virtual time.

Prints the broken rules of each seed and, on request, the smallest schedule
that still breaks one. Exits non-zero if a rule was broken.
"""

import argparse
import logging
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]

from support import fault_schedule  # noqa: E402
from support import series_run  # noqa: E402

# Number of seeds after which a line is printed.
PROGRESS_SEEDS = 100


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0:10", metavar="FIRST:LAST")
    parser.add_argument(
        "--without",
        default="",
        metavar="KINDS",
        help="kinds of faults to leave out, separated by commas",
    )
    parser.add_argument(
        "--reduce",
        action="store_true",
        help="search for the smallest schedule that breaks the same rule",
    )
    parser.add_argument(
        "--store-delay",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="by how much the store delays each response",
    )
    parser.add_argument("--log", action="store_true", help="show all events")
    return parser.parse_args()


def rules_broken(problems):
    return {problem.partition(":")[0] for problem in problems}


def reduce_schedule(seed, faults, rules, store_delay_s):
    """Return a schedule without faults that aren't needed for the failure."""
    size = max(len(faults) // 2, 1)
    while True:
        removed = False
        for first in range(len(faults) - size, -1, -size):
            shorter = faults[:first] + faults[first + size :]
            run = series_run.SeriesRun(seed, shorter, store_delay_s)
            problems = run.run()
            if rules & rules_broken(problems):
                faults, removed = shorter, True
        if size == 1 and not removed:
            return faults
        size = max(size // 2, 1)


def main():
    options = parse_arguments()
    if options.log:
        logging.basicConfig(level=logging.INFO, format="%(message)s")
    else:
        logging.disable(logging.CRITICAL)
    first, last = (int(text) for text in options.seeds.split(":"))
    without = options.without.split(",")
    began_at, broken = time.monotonic(), []
    for seed in range(first, last + 1):
        faults = fault_schedule.draw_schedule(seed, without)
        run = series_run.SeriesRun(seed, faults, options.store_delay)
        problems = run.run()
        if (seed - first + 1) % PROGRESS_SEEDS == 0:
            print(f"seeds up to {seed}: {len(broken)} broken", flush=True)
        if not problems:
            continue
        broken.append(seed)
        print(f"seed {seed}: {len(problems)} problems", flush=True)
        for problem in problems[:6]:
            print("   ", problem, flush=True)
        if options.reduce:
            rules = rules_broken(problems)
            shortest = reduce_schedule(
                seed, faults, rules, options.store_delay
            )
            for fault in shortest:
                print("   ", fault, flush=True)
    took_s = time.monotonic() - began_at
    print(
        f"seeds {first} to {last}: {len(broken)} broken {broken},"
        f" {took_s:.0f} s"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
