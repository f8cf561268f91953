"""Compare the callers' responses with the runs that runners counted."""

import collections
import json


def total_runs(record):
    return sum(record["runs_by_request"].values())


def evaluate(demo):
    """Print the tables of one site; return the number of violations."""
    rows = [
        json.loads(line)
        for line in (demo.scratch / "answers.jsonl").read_text().splitlines()
    ]
    record = demo.fetch_run_record()
    violations = [
        *demo.violations,
        *check_answers(rows, record["runs_by_request"]),
        *check_limits(demo.manifest, record),
    ]
    violations += find_invariant_events(demo)
    print(f"\n== {demo.manifest['site']}, seed {demo.seed} ==")
    print_outcomes(rows)
    print_teams(demo.manifest, rows, record)
    for name, value in demo.results.items():
        shown = f"{value:.2f}" if isinstance(value, float) else value
        print(f"{name:34} {shown}")
    for violation in violations[:20]:
        print(f"VIOLATION {violation}")
    return len(violations)


def check_answers(rows, runs_by_request):
    for row in rows:
        runs = runs_by_request.get(row["id"], 0)
        if row["status"] == 200 and not row["own"]:
            yield f"{row['id']}: response incomplete or of another request"
        if row["status"] == 200 and not runs:
            yield f"{row['id']}: answered but never run"
        if row["verdict"] == "not-run" and runs:
            yield f"{row['id']}: refused with verdict not-run, but was run"
        if row["method"] == "POST" and runs > 1:
            yield f"{row['id']}: not idempotent but ran {runs} times"


def check_limits(manifest, record):
    for team in manifest["teams"]:
        highest = record["highest_by_team"].get(team["name"], 0)
        if highest > team["limit"]:
            yield (
                f"team {team['name']}: {highest} running, limit"
                f" {team['limit']}"
            )
    for runner in manifest["runners"]:
        highest = record["highest_by_runner"].get(runner["name"], 0)
        if highest > runner["slots"]:
            yield f"runner {runner['name']}: {highest} running"


def find_invariant_events(demo):
    """Return the invariant violations that the programs logged."""
    found = []
    for path in sorted(demo.scratch.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if "nvariant" in line and '"level": "ERROR"' in line:
                found.append(f"{path.stem}: {line[:200]}")
            if line.startswith("Traceback"):
                found.append(f"{path.stem}: traceback in its log")
    return found


def print_outcomes(rows):
    outcomes = collections.Counter(
        (row["status"], row["problem"], row["verdict"]) for row in rows
    )
    print(f"{'status':>6} {'count':>6}  reason (verdict)")
    for (status, problem, verdict), count in outcomes.most_common():
        reason = f"{problem} ({verdict})" if problem else "answered"
        print(f"{status:>6} {count:>6}  {reason}")


def print_teams(manifest, rows, record):
    used_by_team = record["slot_seconds_by_team"]
    total_used = sum(used_by_team.values()) or 1.0
    requested_by_team = collections.Counter()
    for row in rows:
        requested_by_team[row["team"]] += row["run_ms"] / 1000
    total_asked = sum(requested_by_team.values()) or 1.0
    total_share = sum(team["share"] for team in manifest["teams"])
    print(
        f"{'team':18} {'asked':>6} {'used':>6} {'share':>6}"
        f" {'highest':>8} {'limit':>6}"
    )
    for team in manifest["teams"]:
        name = team["name"]
        print(
            f"{name:18} {requested_by_team[name] / total_asked:>6.3f}"
            f" {used_by_team.get(name, 0.0) / total_used:>6.3f}"
            f" {team['share'] / total_share:>6.3f}"
            f" {record['highest_by_team'].get(name, 0):>8}"
            f" {team['limit']:>6}"
        )
