"""Record the rows that a build stores, or check that a build reads them.

Both run a small site in virtual time with the sources and the test support
of ``--root``, which may be a checkout of another commit. ``record`` writes
the rows of a site with jobs in all states to a file; ``read`` begins a site
with the rows of a file and exits non-zero if its hosts make anything else of
them than what was stored.
"""

import argparse
import base64
import json
import logging
import pathlib
import sys

TABLES = ("azurevane-jobs", "azurevane-state", "azurevane-leader", "status")
# Time after which a site that reads the rows has done what was left.
READ_S = 40.0
# The clock of a site that reads goes on after that of the one that wrote.
CLOCK_AHEAD_S = 100.0

COMPLETED, RUNNING, LASTING = "0" * 15 + "c", "1" * 15 + "d", "2" * 15 + "e"
TURNED_AWAY = "6" * 15 + "9"
CANCELLED, FAILED, QUEUED = "3" * 15 + "f", "4" * 15 + "a", "5" * 15 + "b"
STATE_WHEN_STORED = {
    COMPLETED: "completed",
    RUNNING: "running",
    LASTING: "running",
    CANCELLED: "cancelled",
    FAILED: "failed",
    QUEUED: "queued",
}
STATE_AT_THE_END = {
    **STATE_WHEN_STORED,
    RUNNING: "completed",
    QUEUED: "completed",
    TURNED_AWAY: "completed",
}


def make_world(root):
    """Return a site with the sources of a checkout, and its task plans."""
    sys.path[:0] = [str(root / "src"), str(root / "tests")]
    from azurevane._internal.standins import site_runner
    from support import site_world

    world = site_world.SiteWorld()
    world.add_service("press")
    world.add_queue("fit", "press")

    def plan(task, attempt):
        job_id = task.partition(".")[0]
        run_s = {COMPLETED: 0.5, RUNNING: 4.0, FAILED: 0.1}.get(job_id, 900.0)
        how = "failed" if job_id == FAILED else "done"
        return site_runner.TaskPlan(run_s, how, {})

    world.platform.plan_task = plan
    return world


def phase(count, **fields):
    """Return a step of a job."""
    return {
        "count": count,
        "cpu": 4000,
        "memMb": 500,
        "estimateMs": 500,
        **fields,
    }


def record(root, path):
    """Write the rows of a site with jobs in all states."""
    world = make_world(root)
    world.add_machines(4, "press")
    world.start()
    world.submit_job("fit", COMPLETED, [phase(3)])
    world.submit_job("fit", FAILED, [phase(1)])
    world.submit_job("fit", CANCELLED, [phase(2)])
    world.submit_job("fit", LASTING, [phase(2, longRunning=True)])
    world.advance_time(4.0)
    response = world.send_request("DELETE", f"/fit/{CANCELLED}")
    assert response.status == 200, response
    world.submit_job("fit", RUNNING, [phase(3), phase(2, after=[0])])
    # No runner has that label.
    world.submit_job("fit", QUEUED, [phase(1, requirements="late")])
    world.advance_time(1.0)
    # Builds up to 220b006 show this job as running. Their stand-in knows no
    # runner that turns starts away.
    for runner in world.platform.runner_by_address.values():
        runner.turns_starts_away = True
    world.submit_job("fit", TURNED_AWAY, [phase(1)])
    world.advance_time(1.0)
    check_states(world, STATE_WHEN_STORED)
    rows = [
        [table, partition, key, value]
        for (table, partition, key), (
            value,
            _,
        ) in world.platform.store._row_by_row_key.items()
        if table in TABLES
    ]
    path.write_text(json.dumps(sorted(rows), indent=1) + "\n")


def read(root, path):
    """Begin a site with the rows of a file, and check what it does."""
    world = make_world(root)
    world.clock.advance(CLOCK_AHEAD_S)
    rows = json.loads(path.read_text())
    for table, partition, key, value in rows:
        base64.b64decode(value, validate=True)
        row_key = table, partition, key
        world.platform.store._write_rows({row_key: value})
    tokens = [
        json.loads(base64.b64decode(value))["token"]
        for table, _, key, value in rows
        if (table, key) == ("azurevane-leader", "owner")
    ]
    world.add_machines(4, "press")
    world.platform.add_host("m-late", "press", "east", "late")
    # Runners name their rack as a label.
    world.platform.plan_task = _shorter(world.platform.plan_task)
    world.start()
    world.advance_time(READ_S)
    check_states(world, STATE_AT_THE_END)
    started = {entry[3].partition(".")[0] for entry in world.task_starts()}
    wanted = {RUNNING, LASTING, QUEUED, TURNED_AWAY}
    assert started == wanted, f"tasks of {started} started, not of {wanted}"
    token = world.host_by_name[world.leader_name].leader.token
    assert token > max(tokens), f"token {token} after {tokens}"


def _shorter(plan):
    """Return task plans in which the jobs that waited end soon."""

    def plan_shorter(task, attempt):
        planned = plan(task, attempt)
        if task.partition(".")[0] not in (QUEUED, TURNED_AWAY):
            return planned
        return type(planned)(0.5, "done", {})

    return plan_shorter


def check_states(world, state_by_job):
    """Check that callers are shown these states of jobs."""
    states = {job: world.job_state("fit", job) for job in state_by_job}
    assert states == state_by_job, f"{states}, not {state_by_job}"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("mode", choices=("record", "read"))
    parser.add_argument("file", type=pathlib.Path)
    parser.add_argument(
        "--root",
        type=pathlib.Path,
        default=pathlib.Path(__file__).resolve().parent.parent,
        help="checkout whose sources run; this one by default",
    )
    options = parser.parse_args()
    logging.disable(logging.WARNING)
    run = record if options.mode == "record" else read
    run(options.root.resolve(), options.file.resolve())


if __name__ == "__main__":
    main()
