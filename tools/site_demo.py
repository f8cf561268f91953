"""Run a job to completion while its leader is killed.

Three entry hosts run as processes against the platform stand-in. The
leader is killed while the job's tasks run. Another host takes over, and
the job completes with every task run once. Exits non-zero otherwise.
"""

import json
import pathlib
import signal
import sys
import tempfile
import time

from twisted.internet import defer
from twisted.internet import reactor

from azurevane._internal.standins import site_runner
import site_soak

JOB_ID = "51000000000000aa"
PHASES = [
    {"count": 6, "cpu": 2000, "estimateMs": 3000},
    {"count": 2, "cpu": 2000, "after": [0], "estimateMs": 3000},
]
TASK_COUNT = sum(phase["count"] for phase in PHASES)
# Longer than a usual takeover, so that it happens while tasks run.
TASK_S = 6.0
ACCEPTED_WITHIN_S = 15.0
STARTED_WITHIN_S = 5.0
# The time after which the users' sites are to serve again (recoveryS).
TAKEOVER_WITHIN_S = 12.0
COMPLETED_WITHIN_S = 30.0
CHECK_INTERVAL_S = 0.05


class DemoFailed(Exception):
    """Raised when a step doesn't end within its time."""


def leader_of(demo):
    """Return the name of the host in the leader's row, or an empty text."""
    value = demo.platform.store.value("azurevane-leader", "", "owner")
    return "" if value is None else json.loads(value)["holder"]


def starts_of(demo):
    return [item for item in demo.platform.record if item[1] == "start"]


async def wait_until(what, within_s, condition):
    """Wait for a condition and print how long it took.

    Args:
        condition: coroutine function that returns whether it is met.
    """
    began_at = time.monotonic()
    while not await condition():
        if time.monotonic() - began_at > within_s:
            raise DemoFailed(f"{what}: not within {within_s:g} s")
        await site_soak.sleep(CHECK_INTERVAL_S)
    print(f"{what}: after {time.monotonic() - began_at:.1f} s", flush=True)


async def show(demo):
    demo.write_site_config()
    body = json.dumps({"spec": "demo", "phases": PHASES}).encode()

    async def accepted():
        # A host may still be starting; another one is tried then.
        status, _ = await demo.send_request(b"POST", JOB_ID, body)
        return status == 200

    async def started():
        return len(starts_of(demo)) >= PHASES[0]["count"]

    async def taken_over():
        return leader_of(demo) not in ("", killed)

    async def completed():
        await demo.send_request(b"GET", JOB_ID)
        return demo.state_by_job.get(JOB_ID) == "completed"

    await wait_until("job accepted", ACCEPTED_WITHIN_S, accepted)
    await wait_until("first tasks started", STARTED_WITHIN_S, started)
    killed = leader_of(demo)
    demo.process_by_name.pop(killed).send_signal(signal.SIGKILL)
    print(f"leader {killed} killed while its tasks run", flush=True)
    await wait_until("another host leads", TAKEOVER_WITHIN_S, taken_over)
    await wait_until("job completed", COMPLETED_WITHIN_S, completed)
    starts = starts_of(demo)
    print(
        f"{TASK_COUNT} tasks, {len(starts)} starts, leader {leader_of(demo)}"
    )
    if len(starts) != TASK_COUNT:
        raise DemoFailed(f"{len(starts)} starts of {TASK_COUNT} tasks")


def main():
    reactor.seconds = time.monotonic
    with tempfile.TemporaryDirectory() as scratch:
        demo = site_soak.Soak(1, 0.0, 3, pathlib.Path(scratch))
        demo.platform.plan_task = lambda task, attempt: site_runner.TaskPlan(
            TASK_S, need={"cpu": 2000}
        )

        def finish(failure):
            if failure is not None:
                demo.violations.append(failure.getErrorMessage())
            reactor.stop()

        reactor.callWhenRunning(
            lambda: defer.ensureDeferred(show(demo)).addBoth(finish)
        )
        try:
            reactor.run()
        finally:
            demo.close()
    print("\n".join(demo.violations) or "every task ran once")
    return 1 if demo.violations else 0


if __name__ == "__main__":
    sys.exit(main())
