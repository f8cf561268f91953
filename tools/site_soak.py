"""Run entry hosts as processes and inject faults from outside.

This process serves the platform stand-in. The entry hosts are processes of
the real program; each reaches the store over a link that can delay or drop
data or reset connections. Faults overlap, while callers submit jobs,
cancel them and query their state. The requests of callers and the events of
runners are checked: no task runs twice at once or again after its end was
acknowledged as done, none starts without an accepted or possibly accepted
submission or after its cancellation, no team exceeds its cap, and every
accepted job ends. Exits non-zero on a violation.

With ``--from COMMIT`` the hosts begin with the build of that commit, taken
from the repository's history. They are replaced one after the other, some by
a planned stop and some by a kill: half of them by this checkout's build and
back, then all of them, with all power lost in between, and back.
"""

import argparse
import io
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tarfile
import tempfile
import time

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers

from azurevane._internal.standins import site_runner
from azurevane._internal.standins import site_server

ROOT = pathlib.Path(__file__).resolve().parent.parent
API_KEY = "soak-key"
HOST_NAME = "soak.example"
CAP_CPU = 100_000
TASK_CPU = 2000
# Time for accepted jobs to end after the last fault.
SETTLE_S = 30.0
# Verdict of a refusal whose request was certainly not carried out.
NOT_RUN = b"verdict: not-run"
# No task of a cancelled job may start later than this after the response.
CANCEL_BOUND_S = 3.0


class Soak:
    """One run of entry hosts under faults, drawn from a seed."""

    def __init__(
        self, seed, seconds, host_count, work_folder, earlier_build=None
    ):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.work_folder = work_folder
        self.network = (
            f"127.{1 + os.getpid() % 250}.{os.getpid() // 250 % 250}"
        )
        self.server = site_server.SiteServer(reactor)
        self.platform = self.server.platform
        self.platform.plan_task = self.plan_task
        self.process_by_name = {}
        self.earlier_build = earlier_build
        self.build_by_name = {}
        self.replaced_hosts = 0
        self.paused = set()
        self.settings_by_name = {}
        self.outcome_by_job = {}
        self.state_by_job = {}
        self.cancelled_at = {}
        # Jobs with a cancellation that may have been carried out although it
        # wasn't confirmed.
        self.maybe_cancelled = set()
        self.violations = []
        self.faults = []
        self.agent = client.Agent(reactor, connectTimeout=1.0)
        for number in range(host_count):
            self.add_entry_host(f"entry-{number}")

    def plan_task(self, task_name, attempt):
        kind = int(task_name[:2], 16) % 10
        how = "failed" if kind == 0 and attempt == 1 else "done"
        run_s = 0.2 + int(task_name[2:4], 16) / 256
        return site_runner.TaskPlan(run_s, how, {"cpu": TASK_CPU})

    # Setup of the site.

    def write_site_config(self):
        self.platform.standby_pools.add("reserve")
        config = {
            "version": 3,
            "routes": [
                {
                    "name": "fit",
                    "host": HOST_NAME,
                    "pathPrefix": "/fit/",
                    "service": "press",
                    "attempts": 2,
                    "deadlineFactor": 1.6,
                    "targetLatencyMs": 600,
                }
            ],
            "services": [
                {"name": "press"},
                {"name": "reserve", "standby": True},
            ],
            "tenants": [
                {
                    "name": "north",
                    "apiKeys": [API_KEY],
                    "weight": 100,
                    "cap": {"cpu": CAP_CPU},
                }
            ],
        }
        value = json.dumps(config).encode()
        self.platform.store.put("op", "config", value)
        for number in range(8):
            self.platform.add_host(
                f"m-{number}", "press", "east", f"r0-{number // 4}"
            )

    def add_entry_host(self, name):
        # A host that is away keeps no port. With an address of its own no
        # other program on this machine takes it meanwhile.
        ip = f"{self.network}.{1 + len(self.settings_by_name)}"
        ports = [self.pick_free_port(ip) for _ in range(2)]
        settings = {
            "nodeName": name,
            "zone": "east",
            "listenAddrs": {
                "frontend": f"{ip}:{ports[0]}",
                "readiness": f"{ip}:{ports[1]}",
            },
            "bounds": {},
            "platform": {
                "address": f"127.0.0.1:{self.server.add_host_link(name)}"
            },
            "cloudApi": {"address": f"127.0.0.1:{self.server.hosts_port}"},
        }
        path = self.work_folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.settings_by_name[name] = path, f"{ip}:{ports[0]}"
        self.build_by_name[name] = self.earlier_build or ROOT
        self.start_entry_host(name)

    @staticmethod
    def pick_free_port(ip):
        port = reactor.listenTCP(0, protocol.Factory(), interface=ip)
        number = port.getHost().port
        port.stopListening()
        return number

    def start_entry_host(self, name):
        path, _ = self.settings_by_name[name]
        log = (self.work_folder / f"{name}.log").open("ab")
        self.process_by_name[name] = subprocess.Popen(
            [
                sys.executable,
                str(self.build_by_name[name] / "deploy" / "host.py"),
            ],
            env={**os.environ, "AZUREVANE_CONFIG": str(path)},
            stdout=log,
            stderr=log,
        )

    # Faults.

    async def inject_faults(self):
        end = reactor.seconds() + self.seconds
        while reactor.seconds() < end:
            await sleep(self.random.uniform(0.3, 2.0))
            fault = self.random.choice(
                [
                    self.kill_host,
                    self.pause_host,
                    self.stop_host,
                    self.fail_links,
                    self.fail_runner,
                ]
            )
            self.faults.append(fault.__name__)
            defer.ensureDeferred(fault()).addErrback(self.record_error)

    def random_host(self):
        return self.random.choice(sorted(self.process_by_name))

    async def kill_host(self):
        await self.end_process(self.random_host(), signal.SIGKILL, 0.0)

    async def stop_host(self):
        await self.end_process(self.random_host(), signal.SIGTERM, 6.0)

    async def end_process(self, name, number, grace_s):
        process = self.process_by_name[name]
        if process.poll() is not None or name in self.paused:
            return
        process.send_signal(number)
        for _ in range(int(grace_s * 10)):
            if process.poll() is not None:
                break
            await sleep(0.1)
        if process.poll() is None:
            process.kill()
        process.wait()
        await sleep(self.random.uniform(0.1, 1.5))
        if self.process_by_name[name] is process:
            self.start_entry_host(name)

    async def replace_hosts(self):
        """Replace the hosts' builds one host after the other."""
        names = sorted(self.build_by_name)
        half = names[: len(names) // 2 + 1]
        steps = [
            *((name, ROOT) for name in half),
            *((name, self.earlier_build) for name in reversed(half)),
            *((name, ROOT) for name in names),
            (None, None),
            *((name, self.earlier_build) for name in names),
        ]
        for name, build in steps:
            await sleep(self.seconds / (len(steps) + 1))
            if name is None:
                await defer.gatherResults(
                    [
                        defer.ensureDeferred(self.lose_power(each))
                        for each in names
                    ]
                )
                continue
            self.build_by_name[name] = build
            number = self.random.choice([signal.SIGTERM, signal.SIGKILL])
            process = self.process_by_name[name]
            await self.end_process(name, number, 6.0)
            if self.process_by_name[name] is not process:
                self.replaced_hosts += 1

    async def lose_power(self, name):
        process = self.process_by_name[name]
        if process.poll() is None:
            # A process that is paused ends, too.
            process.kill()
        process.wait()
        await sleep(1.0)
        if self.process_by_name[name] is process:
            self.start_entry_host(name)

    async def pause_host(self):
        name = self.random_host()
        process = self.process_by_name[name]
        if process.poll() is not None or name in self.paused:
            return
        self.paused.add(name)
        process.send_signal(signal.SIGSTOP)
        await sleep(self.random.uniform(0.5, 6.0))
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
        self.paused.discard(name)

    async def fail_links(self):
        names = sorted(self.server.link_by_host)
        count = self.random.choice([1, 1, len(names)])
        mode = self.random.choice(["silent", "answers", "reset", "slow"])
        chosen = self.random.sample(names, count)
        links = [self.server.link_by_host[name] for name in chosen]
        for link in links:
            link.delay_s = 0.3 if mode == "slow" else 0.0
            link.set_mode("pass" if mode == "slow" else mode)
        await sleep(self.random.uniform(0.5, 5.0))
        for link in links:
            link.delay_s = 0.0
            link.set_mode("pass")

    async def fail_runner(self):
        hosts = [
            host
            for host in self.platform.host_by_name.values()
            if host.runner is not None and host.state == "up"
        ]
        if len(hosts) < 2:
            return
        host = self.random.choice(hosts)
        runner = host.runner
        kind = self.random.choice(["crash", "late", "lose"])
        if kind == "late":
            runner.command_delay_s = self.random.uniform(1.0, 4.0)
            await sleep(1.0)
            runner.command_delay_s = 0.0
            return
        if kind == "lose":
            runner.answers_to_lose = self.random.randint(1, 5)
            return
        runner.crash()
        host.state, host.runner = "down", None
        await sleep(self.random.uniform(1.0, 4.0))
        self.platform.unregister(runner)
        if host.runner is None and host.state == "down":
            host.state = "up"
            self.platform.add_runner(host)

    # Callers.

    async def submit_jobs(self):
        end = reactor.seconds() + self.seconds
        while reactor.seconds() < end:
            await sleep(self.random.uniform(0.05, 0.4))
            job_id = f"{self.random.getrandbits(64):016x}"
            call = self.submit_job(job_id)
            defer.ensureDeferred(call).addErrback(self.record_error)

    async def submit_job(self, job_id):
        phases = [
            {"count": self.random.randint(1, 6), "cpu": TASK_CPU},
            {"count": 2, "cpu": TASK_CPU, "after": [0]},
        ]
        body = json.dumps({"spec": "soak", "phases": phases}).encode()
        self.outcome_by_job[job_id] = "unknown"
        for _ in range(6):
            status, _ = await self.send_request(b"POST", job_id, body)
            if status == 200:
                self.outcome_by_job[job_id] = "accepted"
                break
            if status in (429, 503):
                if self.outcome_by_job[job_id] == "unknown":
                    self.outcome_by_job[job_id] = "refused"
            else:
                self.outcome_by_job[job_id] = "unconfirmed"
            await sleep(0.5)
        if self.random.random() < 0.1:
            await sleep(self.random.uniform(0.0, 1.0))
            await self.cancel_job(job_id)

    async def cancel_job(self, job_id):
        status, data = await self.send_request(b"DELETE", job_id)
        if status == 200:
            self.cancelled_at[job_id] = reactor.seconds()
        elif status != 410 and NOT_RUN not in data:
            self.maybe_cancelled.add(job_id)

    async def send_request(self, method, job_id, body=None):
        name = self.random_host()
        _, address = self.settings_by_name[name]
        headers = http_headers.Headers(
            {"Host": [HOST_NAME], "Authorization": [f"Bearer {API_KEY}"]}
        )
        producer = None
        if body is not None:
            producer = client.FileBodyProducer(io.BytesIO(body))
        url = f"http://{address}/fit/{job_id}".encode()
        asked = self.agent.request(method, url, headers, producer)
        asked.addTimeout(3.0, reactor)
        try:
            response = await asked
            reading = client.readBody(response)
            reading.addTimeout(1.0, reactor)
            data = await reading
        except Exception:
            # Without a response, the caller can't know the outcome.
            return 0, b""
        if method == b"GET" and response.code == 200:
            self.state_by_job[job_id] = json.loads(data)["state"]
        return response.code, data

    # Checks.

    def record_error(self, failure):
        self.violations.append(f"error in the soak: {failure.getTraceback()}")

    async def await_jobs(self):
        for link in self.server.link_by_host.values():
            link.set_mode("pass")
        end = reactor.seconds() + SETTLE_S
        waiting = {
            job
            for job, outcome in self.outcome_by_job.items()
            if outcome == "accepted"
        }
        while waiting and reactor.seconds() < end:
            for job_id in sorted(waiting):
                status, _ = await self.send_request(b"GET", job_id)
                if status == 410:
                    self.violations.append(f"{job_id}: accepted, then 410")
                    waiting.discard(job_id)
                state = self.state_by_job.get(job_id)
                if state in ("completed", "failed", "cancelled"):
                    waiting.discard(job_id)
                    self.check_end(job_id, state)
            await sleep(0.5)
        for job_id in sorted(waiting):
            self.violations.append(f"{job_id}: never ended")

    def check_end(self, job_id, state):
        if state == "failed":
            self.violations.append(
                f"{job_id}: failed, though its tasks can succeed"
            )
        asked = job_id in self.cancelled_at or job_id in self.maybe_cancelled
        if state == "cancelled" and not asked:
            self.violations.append(f"{job_id}: cancelled without a request")

    def check_runs(self):
        running, done, used = {}, set(), 0
        for at, event, runner, name, attempt in self.platform.record:
            job_id = name.split(".")[0]
            if event == "start":
                if name in running or name in done:
                    self.violations.append(
                        f"{name}: run {attempt} is a second execution"
                    )
                if self.outcome_by_job.get(job_id) == "refused":
                    self.violations.append(
                        f"{name}: started, though its job was refused"
                    )
                cancelled = self.cancelled_at.get(job_id)
                # A runner may execute a start command late that was sent
                # before the cancellation.
                late = (name, attempt) in self.platform.late_commands
                after = (
                    cancelled is not None and at > cancelled + CANCEL_BOUND_S
                )
                if after and not late:
                    self.violations.append(
                        f"{name}: started after its job was cancelled"
                    )
                running[name] = runner
                used = len(running) * TASK_CPU
                if used > CAP_CPU:
                    self.violations.append(f"{name}: team over its cap")
            elif event == "seen done":
                # An end that wasn't acknowledged may be lost with its
                # runner; the task then has to run again.
                done.add(name)
            elif not event.startswith("seen"):
                running.pop(name, None)
        return len(done)

    async def run(self):
        self.write_site_config()
        await sleep(3.0)
        activities = [self.inject_faults(), self.submit_jobs()]
        if self.earlier_build is not None:
            activities.append(self.replace_hosts())
        await defer.gatherResults(
            [defer.ensureDeferred(activity) for activity in activities]
        )
        await sleep(8.0)
        await self.await_jobs()
        done = self.check_runs()
        outcomes = list(self.outcome_by_job.values())
        print(
            f"jobs: {len(outcomes)}, accepted {outcomes.count('accepted')},"
            f" refused {outcomes.count('refused')}, tasks done {done},"
            f" faults {len(self.faults)}, hosts replaced"
            f" {self.replaced_hosts}"
        )
        if not done:
            self.violations.append("no task was done")

    def close(self):
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()


def extract_build(commit, folder):
    """Write the sources of a commit to a folder, and return it."""
    archive = subprocess.run(
        ["git", "archive", commit, "src", "deploy"],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    if archive.returncode:
        sys.exit(
            f"commit {commit} isn't in this repository's history, which may"
            f" be shallow: {archive.stderr.decode().strip()}"
        )
    folder.mkdir()
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as sources:
        sources.extractall(folder, filter="data")
    return folder


def sleep(seconds):
    return task.deferLater(reactor, seconds, lambda: None)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument("--keep", help="folder for the hosts' logs")
    parser.add_argument(
        "--from",
        dest="commit",
        metavar="COMMIT",
        help="commit of the build that runs at first",
    )
    options = parser.parse_args()
    reactor.seconds = time.monotonic
    with tempfile.TemporaryDirectory() as scratch:
        work_folder = pathlib.Path(options.keep or scratch)
        work_folder.mkdir(parents=True, exist_ok=True)
        earlier_build = None
        if options.commit:
            earlier_build = extract_build(
                options.commit, pathlib.Path(scratch) / "earlier-build"
            )
        soak = Soak(
            options.seed,
            options.seconds,
            options.hosts,
            work_folder,
            earlier_build,
        )

        def finish(result):
            if result is not None:
                soak.violations.append(str(result))
            reactor.stop()

        reactor.callWhenRunning(
            lambda: defer.ensureDeferred(soak.run()).addBoth(finish)
        )
        try:
            reactor.run()
        finally:
            soak.close()
    for violation in soak.violations[:20]:
        print(violation)
    print(f"seed {options.seed}: {len(soak.violations)} violations")
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())
