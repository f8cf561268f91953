"""Run the benchmarks and compare them with bounds and a previous run.

Each module of this directory with a ``run()`` function returns figures as
``{name, value, unit, bound, better, baseline}``; ``better`` says whether
``lower`` or ``higher`` is better. A module with ``TIMED = True`` measures
time on this machine. The others count events or run in virtual time, and
return the same figures every time.

Writes ``build/bench.json`` and exits non-zero when a figure is outside its
bound and isn't listed in KNOWN-RED.txt as ``bench:<name>``.
"""

import argparse
import concurrent.futures
import importlib
import json
import os
import pathlib
import pkgutil
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent
PREVIOUS_RUN = HERE / "baselines" / "latest.json"
PARALLEL_MODULES = 6


def find_modules() -> list[str]:
    names = [item.name for item in pkgutil.iter_modules([str(HERE)])]
    return [name for name in names if name != "run"]


def run_module(name: str) -> tuple[str, list[dict], float]:
    sys.path[:0] = [str(HERE), str(ROOT / "tests")]
    module = importlib.import_module(name)
    if not hasattr(module, "run"):
        return name, [], 0.0
    started = time.monotonic()
    return name, module.run(), time.monotonic() - started


def is_timed(name: str) -> bool:
    return "TIMED = True" in (HERE / f"{name}.py").read_text()


def within_bound(figure: dict) -> bool:
    bound = figure.get("bound")
    if bound is None:
        return True
    if figure["better"] == "lower":
        return figure["value"] <= bound
    return figure["value"] >= bound


def load_known_red() -> set[str]:
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return {
        line.split("|")[0].strip().removeprefix("bench:")
        for line in lines
        if line.startswith("bench:")
    }


def collect(names: list[str]) -> list[dict]:
    """Run untimed modules in parallel, then timed ones one by one."""
    figures = []
    counted = [name for name in names if not is_timed(name)]
    with concurrent.futures.ProcessPoolExecutor(PARALLEL_MODULES) as pool:
        for name, rows, seconds in pool.map(run_module, counted):
            print(f"{name}: {seconds:.1f} s", file=sys.stderr)
            figures += rows
    for name in names:
        if name in counted:
            continue
        _, rows, seconds = run_module(name)
        print(f"{name}: {seconds:.1f} s", file=sys.stderr)
        figures += [{**row, "timed": True} for row in rows]
    return sorted(figures, key=lambda figure: figure["name"])


def report(figures: list[dict]) -> int:
    known_red = load_known_red()
    previous = {}
    if PREVIOUS_RUN.exists():
        previous = {
            figure["name"]: figure["value"]
            for figure in json.loads(PREVIOUS_RUN.read_text())
        }
    failures = 0
    print(
        f"{'name':26} {'value':>10} {'bound':>10} {'earlier':>10}"
        f" {'baseline':>10} {'ideal':>10} unit"
    )
    for figure in figures:
        mark = ""
        if not within_bound(figure):
            mark = "  OUTSIDE"
            if figure["name"] in known_red:
                mark = "  known red"
            else:
                failures += 1
        elif figure["name"] in known_red:
            # A time may be within its bound on a faster machine.
            mark = "  listed as red but within its bound"
            failures += not figure.get("timed")
        cells = [
            figure["value"],
            figure.get("bound"),
            previous.get(figure["name"]),
            figure.get("baseline"),
            figure.get("ideal"),
        ]
        shown = " ".join(
            f"{'-' if cell is None else format(cell, '.4g'):>10}"
            for cell in cells
        )
        print(f"{figure['name']:26} {shown} {figure['unit']}{mark}")
    print(f"figures: {len(figures)}, outside their bound: {failures}")
    return 1 if failures or not figures else 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--virtual", action="store_true")
    parser.add_argument("--only", help="run just this module")
    options = parser.parse_args()
    os.environ.setdefault("PYTHONHASHSEED", "0")
    names = [options.only] if options.only else find_modules()
    if options.virtual:
        names = [name for name in names if not is_timed(name)]
    figures = collect(names)
    build = ROOT / "build"
    build.mkdir(exist_ok=True)
    (build / "bench.json").write_text(json.dumps(figures, indent=1) + "\n")
    return report(figures)


if __name__ == "__main__":
    sys.exit(main())
