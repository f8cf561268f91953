"""Cost of the leading entry host, as a ratio to an earlier version.

The real program leads a site of 60 runners on loopback, beside a platform
stand-in in this process, and schedules a steady load of jobs of eight
tasks. Then the same load runs on the sources of ``BASELINE_COMMIT``. The
figures are the processor time of the program per job, from its submission
to its end, and at rest; and the calls to runners and writes to the store
per task. Without the history of the repository there is no baseline, and
only the counts are bounded.

``leader_cost.py --profile FILE`` runs the present sources alone and writes
the program's profile; ``--sources DIR`` runs those of another folder.
"""

import argparse
import base64
import collections
import json
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import time

import psutil

from azurevane._internal.models import job as job_models
from azurevane._internal.scheduler import records
from azurevane._internal.standins import site_runner
from azurevane._internal.standins import site_server

ROOT = pathlib.Path(__file__).resolve().parents[1]
TIMED = True
# The last version before the leader's cost was worked on.
BASELINE_COMMIT = "740e359"
POOLS = 5
RUNNERS_PER_POOL = 12
HEARTBEAT_INTERVAL_S = 1.5
JOBS_PER_S = 10.0
TASKS_PER_JOB = 8
TASK_CPU = 2000
TASK_S = 0.64
START_S = 4.0
REST_S = 5.0
LOAD_S = 15.0
# Time for the last jobs to end.
SETTLE_S = 3.0
# A job's processor time is to fall to a third, and that at rest to a share
# of a core that a host can always spare.
COST_RATIO_BOUND = 1 / 3
REST_BOUND_CORES = 0.02
# A start, and a report of its end that acknowledges earlier ones.
CALLS_PER_TASK_BOUND = 2.5

PROGRAM = """
import sys
sys.path.insert(0, sys.argv.pop(1))
from azurevane._internal.daemons import site_host
profile_file = sys.argv.pop(1)
if not profile_file:
    site_host.main()
else:
    import cProfile
    cProfile.run("site_host.main()", profile_file)
"""


class LeaderRun:
    """One run of the program under the load, in the given sources."""

    def __init__(self, reactor, sources, work_folder, profile_file=""):
        self.reactor = reactor
        self.random = random.Random(1)
        self.server = site_server.SiteServer(reactor)
        self.platform = self.server.platform
        self.platform.plan_task = lambda task, attempt: site_runner.TaskPlan(
            TASK_S, need={"cpu": TASK_CPU}
        )
        self.calls = collections.Counter()
        self._count_calls()
        self._write_rows()
        self.process = self._start_program(sources, work_folder, profile_file)
        self.jobs = 0

    def _count_calls(self):
        handle_request = self.platform.handle_request

        def count(host, request):
            self.calls[request.path.rsplit("/", 1)[1]] += 1
            return handle_request(host, request)

        self.platform.handle_request = count

    def _write_rows(self):
        self.platform.standby_pools.add("reserve")
        pools = [f"pool-{number}" for number in range(POOLS)]
        config = {
            "version": 1,
            "routes": [
                {
                    "name": f"queue-{pool}",
                    "host": "bench.example",
                    "pathPrefix": f"/{pool}/",
                    "service": pool,
                    "attempts": 3,
                    "deadlineFactor": 1.6,
                    "targetLatencyMs": 600,
                }
                for pool in pools
            ],
            "services": [{"name": pool} for pool in pools]
            + [{"name": "reserve", "standby": True}],
            "tenants": [{"name": "team", "apiKeys": ["key"], "weight": 1000}],
        }
        self.platform.store.put("op", "config", json.dumps(config).encode())
        for number in range(POOLS * RUNNERS_PER_POOL):
            self.platform.add_host(
                f"host-{number}", pools[number % POOLS], "east", "r0-0"
            )
        self._renew_entries()

    def _renew_entries(self):
        for runner in list(self.platform.runner_by_address.values()):
            if runner.reachable:
                self.platform.register(runner)
        self.reactor.callLater(HEARTBEAT_INTERVAL_S, self._renew_entries)

    def _start_program(self, sources, work_folder, profile_file):
        store_port = self.server.add_host_link("entry")
        settings = {
            "nodeName": "entry",
            "zone": "east",
            "listenAddrs": {},
            "bounds": {},
            "platform": {"address": f"127.0.0.1:{store_port}"},
            "cloudApi": {"address": f"127.0.0.1:{self.server.hosts_port}"},
        }
        path = work_folder / "entry.json"
        path.write_text(json.dumps(settings))
        return subprocess.Popen(
            [sys.executable, "-c", PROGRAM, str(sources), profile_file],
            env={**os.environ, "AZUREVANE_CONFIG": str(path)},
            stdout=(work_folder / "entry.log").open("wb"),
        )

    def submit_job(self):
        self.jobs += 1
        pool = f"pool-{self.jobs % POOLS}"
        job = job_models.Job(
            id=f"{self.random.getrandbits(64):016x}",
            queue=f"queue-{pool}",
            service=pool,
            team="team",
            spec="spec" * 100,
            steps=(
                job_models.Step(
                    TASKS_PER_JOB,
                    job_models.Capacity(TASK_CPU, 256),
                    TASK_S,
                ),
            ),
            accepted_at=time.time(),
            attempts=3,
            objective_s=1.6 * TASK_S + 0.6,
        )
        response = self.platform.store.handle_request(
            "POST",
            "/azurevane/rows-tx",
            {},
            {
                "expectedRev": [],
                "setKeys": [
                    {
                        "table": records.JOBS_TABLE,
                        "part": records.job_partition(job.id),
                        "key": job.id,
                        "value": base64.b64encode(
                            records.encode_job(job)
                        ).decode(),
                    }
                ],
                "delete": [],
            },
        )
        assert response.status == 200

    def cpu_s(self):
        times = psutil.Process(self.process.pid).cpu_times()
        return times.user + times.system

    async def measure(self):
        """Return the figures of one run."""
        from twisted.internet import task

        def sleep(seconds):
            return task.deferLater(self.reactor, seconds, lambda: None)

        await sleep(START_S)
        cpu_s = self.cpu_s()
        await sleep(REST_S)
        rest_cores = (self.cpu_s() - cpu_s) / REST_S
        self.calls.clear()
        cpu_s, began_at = self.cpu_s(), self.reactor.seconds()
        while self.reactor.seconds() - began_at < LOAD_S:
            self.submit_job()
            await sleep(1 / JOBS_PER_S)
        await sleep(SETTLE_S)
        elapsed_s = self.reactor.seconds() - began_at
        load_cpu_s = self.cpu_s() - cpu_s - rest_cores * elapsed_s
        done = sum(item[1] == "done" for item in self.platform.record)
        return {
            "job_ms": load_cpu_s / self.jobs * 1000,
            "rest_cores": rest_cores,
            "tasks": self.jobs * TASKS_PER_JOB,
            "done": done,
            "calls": dict(self.calls),
        }

    def close(self):
        self.process.terminate()
        self.process.wait()


def measure_sources(sources, profile_file=""):
    """Return the figures of one run; needs a process without a reactor."""
    from twisted.internet import defer
    from twisted.internet import reactor

    reactor.seconds = time.monotonic
    figures = {}
    with tempfile.TemporaryDirectory() as folder:
        run = LeaderRun(reactor, sources, pathlib.Path(folder), profile_file)

        def finish(result):
            if isinstance(result, dict):
                figures.update(result)
            else:
                print(result, file=sys.stderr)
            reactor.stop()

        reactor.callWhenRunning(
            lambda: defer.ensureDeferred(run.measure()).addBoth(finish)
        )
        try:
            reactor.run()
        finally:
            run.close()
    return figures


def measure_in_process(sources):
    """Measure in a new process, since a reactor can't be restarted."""
    output = subprocess.run(
        [sys.executable, __file__, "--sources", str(sources)],
        check=True,
        stdout=subprocess.PIPE,
    ).stdout
    return json.loads(output)


def extract_baseline(folder):
    """Write the baseline's sources; False without the repository's history."""
    archive = subprocess.run(
        ["git", "-C", str(ROOT), "archive", BASELINE_COMMIT, "src"],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    if archive.returncode:
        return False
    subprocess.run(
        ["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True
    )
    return True


def figure(name, value, unit, bound, baseline):
    return {
        "name": name,
        "value": round(value, 4),
        "unit": unit,
        "bound": bound,
        "better": "lower",
        "baseline": baseline,
    }


def run():
    """Return the figures of both versions."""
    present = measure_in_process(ROOT / "src")
    assert present["done"] == present["tasks"], present
    calls = present["calls"]
    runner_calls = calls.get("run-start", 0) + calls.get("hold", 0)
    rows = [
        figure(
            "leader.calls.task",
            runner_calls / present["tasks"],
            "calls",
            CALLS_PER_TASK_BOUND,
            0.0,
        ),
        figure(
            "leader.writes.task",
            calls.get("rows-tx", 0) / present["tasks"],
            "writes",
            None,
            0.0,
        ),
        figure(
            "leader.rest.cores",
            present["rest_cores"],
            "cores",
            REST_BOUND_CORES,
            0.0,
        ),
        figure("leader.job.ms", present["job_ms"], "ms", None, 0.0),
    ]
    with tempfile.TemporaryDirectory() as folder:
        if extract_baseline(folder):
            before = measure_in_process(pathlib.Path(folder) / "src")
            rows.append(
                figure(
                    "leader.cost.ratio",
                    present["job_ms"] / before["job_ms"],
                    "ratio",
                    COST_RATIO_BOUND,
                    1.0,
                )
            )
            rows[2]["baseline"] = before["rest_cores"]
            rows[3]["baseline"] = before["job_ms"]
    return rows


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sources", default=str(ROOT / "src"))
    parser.add_argument("--profile", default="")
    options = parser.parse_args()
    print(json.dumps(measure_sources(options.sources, options.profile)))


if __name__ == "__main__":
    main()
