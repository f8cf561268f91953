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

import site_soak

JOB_ID = "51000000000000aa"
COMPLETE_WITHIN_S = 30.0
SUBMIT_ATTEMPTS = 20


def leader_of(demo):
    """Return the name of the host in the leader's row."""
    value = demo.platform.store.value("azurevane-leader", "", "owner")
    return "" if value is None else json.loads(value)["holder"]


async def show(demo):
    demo.write_site_config()
    await site_soak.sleep(3.0)
    print(f"leader: {leader_of(demo)}")
    phases = [
        {"count": 6, "cpu": 2000, "estimateMs": 1000},
        {"count": 2, "cpu": 2000, "after": [0], "estimateMs": 1000},
    ]
    body = json.dumps({"spec": "demo", "phases": phases}).encode()
    for _ in range(SUBMIT_ATTEMPTS):
        # A host may still be starting; retry at another one.
        status = await demo.send_request(b"POST", JOB_ID, body)
        print(f"POST {JOB_ID}: {status or 'no answer'}")
        if status == 200:
            break
        await site_soak.sleep(0.5)
    await site_soak.sleep(0.3)
    killed = leader_of(demo)
    demo.process_by_name.pop(killed).send_signal(signal.SIGKILL)
    print(f"killed {killed}")
    began, shown = time.monotonic(), ""
    while time.monotonic() - began < COMPLETE_WITHIN_S:
        await demo.send_request(b"GET", JOB_ID)
        state = demo.state_by_job.get(JOB_ID, "")
        if state != shown:
            shown = state
            print(f"GET {JOB_ID}: {state}, leader {leader_of(demo)}")
        if state == "completed":
            break
        await site_soak.sleep(0.2)
    starts = [item for item in demo.platform.record if item[1] == "start"]
    print(f"tasks: 8, starts: {len(starts)}")
    if shown != "completed":
        demo.violations.append(f"the job is {shown!r}, not completed")
    if len(starts) != 8:
        demo.violations.append(f"{len(starts)} starts of 8 tasks")
    if leader_of(demo) == killed:
        demo.violations.append("no other host took over the leadership")


def main():
    reactor.seconds = time.monotonic
    with tempfile.TemporaryDirectory() as scratch:
        demo = site_soak.Soak(1, 0.0, 3, pathlib.Path(scratch))

        def finish(failure):
            if failure is not None:
                demo.violations.append(str(failure))
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
