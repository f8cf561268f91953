"""Run every behave feature and compare the failures with KNOWN-RED.txt.

Each directory under tests/ with features is a separate behave run, because
behave loads steps per directory; the runs are parallel. Exits non-zero when
a scenario fails that isn't listed, when a listed one passes or doesn't
exist, or when no scenario ran. A scenario listed after ``sometimes:`` is
flaky: it may pass, but must exist, and its failures are printed.
"""

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
PARALLEL_RUNS = 4
FLAKY_PREFIX = "sometimes:"


def load_known_red() -> tuple[set[str], set[str]]:
    """Return the scenarios that always fail, and the flaky ones."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    names = [
        line.split("|")[0].strip()
        for line in lines
        if line.strip() and not line.startswith(("#", "bench:"))
    ]
    flaky = {
        name.removeprefix(FLAKY_PREFIX)
        for name in names
        if name.startswith(FLAKY_PREFIX)
    }
    return {n for n in names if not n.startswith(FLAKY_PREFIX)}, flaky


def run_directory(directory: pathlib.Path) -> tuple[dict[str, str], str]:
    """Return the status of each scenario, and behave's output."""
    with tempfile.TemporaryDirectory() as scratch:
        report = pathlib.Path(scratch) / "report.json"
        process = subprocess.run(
            [
                sys.executable,
                "-m",
                "behave",
                "--no-color",
                "--format=json",
                f"--outfile={report}",
                "--format=progress3",
                "--outfile=/dev/stdout",
                str(directory.relative_to(ROOT)),
            ],
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": "0"},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            check=False,
        )
        features = json.loads(report.read_text()) if report.exists() else []
    status_by_name = {}
    for feature in features:
        location = feature["location"].rsplit(":", 1)[0]
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            key = f"{location}:{element['name']}".strip()
            status_by_name[key] = element.get("status", "undefined")
    if process.returncode and not status_by_name:
        status_by_name[f"{directory.name}:(behave failed)"] = "failed"
    return status_by_name, process.stdout


def main() -> int:
    directories = sorted(
        {path.parent for path in (ROOT / "tests").rglob("*.feature")}
    )
    known_red, flaky_red = load_known_red()
    status_by_name: dict[str, str] = {}
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        for statuses, output in pool.map(run_directory, directories):
            status_by_name.update(statuses)
            if any(status != "passed" for status in statuses.values()):
                print(output)
    failed = {
        name for name, status in status_by_name.items() if status != "passed"
    }
    unexpected = sorted(failed - known_red - flaky_red)
    stale = sorted(known_red - failed)
    stale += sorted(flaky_red - set(status_by_name))
    for name in sorted(failed & (known_red | flaky_red)):
        print(f"known red: {name}")
    for name in unexpected:
        print(f"failed: {name}")
    for name in stale:
        print(f"listed in KNOWN-RED.txt but passes or doesn't exist: {name}")
    passed = len(status_by_name) - len(failed)
    if not passed:
        print("no scenario ran")
    print(f"scenarios: {passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or stale or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
