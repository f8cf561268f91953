"""Start-up time of the operators' command against a bare Python."""

import pathlib
import statistics
import subprocess
import sys
import time

TIMED = True

_ROUNDS = 15


def _seconds(command: list[str]) -> float:
    started = time.perf_counter()
    subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
    return time.perf_counter() - started


def run() -> list[dict]:
    program = str(pathlib.Path(sys.executable).parent / "azurevane")
    ratios, bare_times = [], []
    for _ in range(_ROUNDS):
        bare = _seconds([sys.executable, "-c", "pass"])
        ratios.append(_seconds([program, "--version"]) / bare)
        bare_times.append(bare)
    return [
        {
            "name": "cli.startup.ratio",
            "value": statistics.median(ratios),
            "unit": "ratio",
            "bound": 8,
            "better": "lower",
            "baseline": 1.0,
        }
    ]
