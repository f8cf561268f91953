"""A small site for the scripts of the review: hosts, runners, callers.

The platform is the project's stand-in, served on loopback. The entry hosts
are processes of the real program, started as the deploy file says.
"""

import io
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.python import log
from twisted.web import client
from twisted.web import http_headers
from twisted.web import server

from azurevane._internal.models import host_settings
from azurevane._internal.standins import site_runner
from azurevane._internal.standins import site_server

ROOT = pathlib.Path(__file__).resolve().parent.parent
# As in deploy/system.toml, without the program.
HOST_ARGUMENTS = [
    "deploy/host.py",
    "--metrics-port",
    "9464",
    "--settings",
    "deploy/host.ini",
]
API_KEY = "review-key"
QUEUE_HOST = "review.example"
PREFIX = "/press/"
HEARTBEAT_S = 1.5
# A case that takes longer couldn't run.
MAX_RUN_S = 116.0
# The stand-in takes tasks of this length for tasks that last.
LASTING_S = 2000.0

# The bounds of sites/sunfold-lakes.toml.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "evacuateMs": 5000,
    "recoveryS": 12,
    "holdMaxMs": 6000,
    "stopMs": 400,
    "gangMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remoteSlowdown": 3,
    "checkpointS": 1,
    "restoreMs": 600,
    "noticeMs": 4500,
    "migrateS": 1.5,
    "maintenanceS": 2,
    "fencingEnforced": False,
    "leaseMs": 3000,
    "harmMs": 4000,
}


class _Resource(site_server._PlatformResource):
    """Resets the connection of a call whose peer has ended."""

    def render(self, request):
        """Pass a call on to the platform."""
        handle = self._platform.handle_request

        def reset_connection(_):
            if request.channel is not None:
                request.channel.transport.abortConnection()
            return defer.Deferred()

        def handle_or_reset(entry_host, call):
            answer = handle(entry_host, call)
            if isinstance(answer, defer.Deferred):
                answer.addErrback(reset_connection)
            return answer

        self._platform.handle_request = handle_or_reset
        try:
            return super().render(request)
        finally:
            self._platform.handle_request = handle


class _Server(site_server.SiteServer):
    def _listen(self, address):
        factory = server.Site(_Resource(self.platform, address))
        factory.noisy = False
        port = self._reactor.listenTCP(
            0, factory, interface=site_server.LOOPBACK
        )
        return int(port.getHost().port)

    def _listen_runner(self):
        factory = server.Site(None)
        factory.noisy = False
        port = self._reactor.listenTCP(
            0, factory, interface=site_server.LOOPBACK
        )
        address = host_settings.Address(
            site_server.LOOPBACK, port.getHost().port
        )
        factory.resource = _Resource(self.platform, address)
        return str(address)


def sleep(seconds):
    """Return a Deferred that fires after some seconds."""
    return task.deferLater(reactor, seconds, lambda: None)


def spawn(coroutine):
    """Run a coroutine beside others, until the case ends."""
    defer.ensureDeferred(coroutine).addErrback(lambda _: None)


def _free_network():
    """Return the first three numbers of a loopback network nobody uses."""
    for number in range(os.getpid(), os.getpid() + 5000):
        network = f"127.{2 + number % 250}.{number // 250 % 250}"
        try:
            for last in range(1, 7):
                for port in (7000, 8340, 8343, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{last}", port))
        except OSError:
            continue
        return network
    raise OSError("no loopback address is free")


class Site:
    """Entry hosts, the platform's stand-in, and callers.

    Args:
        folder: where record.txt is written.
        hosts: number of entry hosts.
        machines: number of machines, each with a runner.
        kind_by_machine: kinds of the machines that aren't of kind "a".
        route: further fields of the queue in the configuration.
        settings: further fields of the entry hosts' settings.
    """

    def __init__(
        self,
        folder,
        *,
        hosts=3,
        machines=2,
        kind_by_machine=None,
        route=None,
        settings=None,
    ):
        self.kind_by_machine = kind_by_machine or {}
        self._route = route or {}
        self._settings = settings or {}
        self._out = (folder / "record.txt").open("w")
        self._work = tempfile.TemporaryDirectory()
        self.server = _Server(reactor)
        self.platform = self.server.platform
        self.process_by_name = {}
        self.address_by_name = {}
        self.began_at = time.monotonic()
        self._recorded = 0
        self.run_s_by_job = {}
        self.platform.plan_task = self._plan_task
        self._network = _free_network()
        self._host_count = hosts
        self._write_config()
        for number in range(machines):
            self.platform.add_host(
                f"m-{number}", "press", "east", f"r0-{number // 4}"
            )
        for machine in self.platform.host_by_name.values():
            machine.runner.started_at_ms = self.unix_ms()
            self.register(machine)
        task.LoopingCall(self._beat).start(HEARTBEAT_S, now=False)
        task.LoopingCall(self._copy_events).start(0.05, now=False)

    # Time and record.

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at

    @staticmethod
    def unix_ms(ahead_s=0.0):
        """Return the time of day of a machine whose clock is ahead."""
        return int((time.time() + ahead_s) * 1000)

    def write(self, text):
        """Write a line of the record."""
        self._out.write(f"{self.now():8.3f} {text}\n")
        self._out.flush()

    def _copy_events(self):
        events = self.platform.record
        while self._recorded < len(events):
            at, event, runner, name, attempt = events[self._recorded]
            self._recorded += 1
            at -= self.began_at
            self.write(f"[{at:.3f}] runner {runner}: {event} {name} {attempt}")

    # Runners.

    def _plan_task(self, name, attempt):
        run_s = self.run_s_by_job.get(name.split(".")[0], 0.5)
        return site_runner.TaskPlan(run_s, need={"cpu": 2000, "memMb": 256})

    def register(self, machine):
        """Write the entry of a machine's runner to the store."""
        entry = machine.runner.entry()
        entry["labels"][0] = self.kind_by_machine.get(machine.name, "a")
        value = json.dumps(entry).encode()
        self.platform.store.put("servers", machine.runner.id, value)

    def _beat(self):
        for machine in self.platform.host_by_name.values():
            if machine.runner is not None and not machine.runner.crashed:
                self.register(machine)

    async def restart_runner(self, machine, *, down_s, ahead_s):
        """Crash a runner; it starts again under its id, knowing nothing.

        Args:
            ahead_s: how far the machine's time of day is ahead at the start.
        """
        runner = machine.runner
        runner.resets_connections = True
        runner.crash()
        self.write(f"runner {runner.id} crashes")
        await sleep(down_s)
        successor = runner.next_incarnation(self.unix_ms(ahead_s))
        self.platform.runner_by_address[runner.address] = successor
        machine.runner = successor
        self.register(machine)
        self.write(
            f"runner {successor.id} starts again, born"
            f" {successor.started_at_ms} (before: {runner.started_at_ms})"
        )

    # Entry hosts.

    def start_hosts(self):
        """Start the entry hosts."""
        for number in range(self._host_count):
            self._add_host(f"frontend-{number}", number + 1)

    def _write_config(self):
        config = {
            "version": 3,
            "routes": [
                {
                    "name": "press",
                    "host": QUEUE_HOST,
                    "pathPrefix": PREFIX,
                    "service": "press",
                    "attempts": 3,
                    "deadlineFactor": 1.6,
                    "targetLatencyMs": 600,
                    **self._route,
                }
            ],
            "services": [{"name": "press", "constraints": True}],
            "tenants": [
                {"name": "north", "apiKeys": [API_KEY], "weight": 100}
            ],
        }
        self.platform.store.put("op", "config", json.dumps(config).encode())

    def _add_host(self, name, number):
        ip = f"{self._network}.{number}"
        link = self.server.add_host_link(name)
        settings = {
            "nodeName": name,
            "role": "host",
            "machineClass": "frontend",
            "serves": ["frontend"],
            "ip": ip,
            "zone": "east",
            "region": "region",
            "zones": {"east": "region"},
            "listenAddrs": {
                "frontend": f"{ip}:8340",
                "readiness": f"{ip}:8343",
            },
            "internalPorts": [7000, 7015],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS,
            "controlMode": "request",
            "platform": {
                "address": f"127.0.0.1:{link}",
                "form": "table",
                "writesPerS": 600,
                "readsPerS": 2000,
                "rowBytes": 65536,
                "crossShard": False,
                "historyS": 20,
            },
            "cloudApi": {
                "address": f"127.0.0.1:{self.server.hosts_port}",
                "ratePerS": 64.0,
                "duties": [],
                "dutyPerS": 64.0,
            },
            **self._settings,
        }
        path = pathlib.Path(self._work.name) / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.address_by_name[name] = f"{ip}:8340"
        self.start_host(name)

    def start_host(self, name):
        """Start an entry host's process with the settings it had."""
        folder = pathlib.Path(self._work.name)
        output = (folder / f"{name}.log").open("ab")
        self.process_by_name[name] = subprocess.Popen(
            [sys.executable, *HOST_ARGUMENTS],
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "AZUREVANE_CONFIG": str(folder / f"{name}.json"),
            },
            stdout=output,
            stderr=output,
        )

    def leader(self):
        """Return the name in the leader's row, or an empty text."""
        value = self.platform.store.value("azurevane-leader", "", "owner")
        return json.loads(value)["holder"] if value else ""

    def log_of(self, name):
        """Return what an entry host has written."""
        return (pathlib.Path(self._work.name) / f"{name}.log").read_text()

    # Callers.

    async def call(self, method, job_id, body=None, name=None):
        """Send a caller's request; return the status and the body."""
        name = name or sorted(self.process_by_name)[0]
        agent = client.Agent(reactor, connectTimeout=1.0)
        headers = http_headers.Headers(
            {"Host": [QUEUE_HOST], "Authorization": [f"Bearer {API_KEY}"]}
        )
        producer = None
        if body is not None:
            producer = client.FileBodyProducer(
                io.BytesIO(json.dumps(body).encode())
            )
        url = f"http://{self.address_by_name[name]}{PREFIX}{job_id}".encode()
        try:
            asked = agent.request(method.encode(), url, headers, producer)
            asked.addTimeout(3.0, reactor)
            response = await asked
            text = (await client.readBody(response)).decode()
            status = response.code
        except Exception as error:
            status, text = 0, repr(error)
        self.write(
            f"{method} {job_id or '(queue)'} at {name}: {status} {text}"
        )
        return status, text

    async def submit(self, job_id, body, run_s):
        """Submit a job until it is accepted; its tasks take run_s."""
        self.run_s_by_job[job_id] = run_s
        for _ in range(20):
            status, _ = await self.call("POST", job_id, body)
            if status == 200:
                return
            await sleep(0.3)
        raise RuntimeError(f"job {job_id} isn't accepted")

    async def wait_until_serving(self):
        """Wait until a leader is known and a host answers callers."""
        for _ in range(100):
            await sleep(0.2)
            status, _ = await self.call("GET", "")
            if status == 200 and self.leader():
                return
        raise RuntimeError("the site doesn't serve")

    def runs(self):
        """Return (task, attempt, runner, start, end or None) of all runs."""
        open_runs, ended = {}, []
        for at, event, runner, name, attempt in self.platform.record:
            key = name, attempt, runner
            if event == "start":
                open_runs[key] = at - self.began_at
            elif not event.startswith("seen") and key in open_runs:
                ended.append((*key, open_runs.pop(key), at - self.began_at))
        return ended + [(*key, at, None) for key, at in open_runs.items()]

    def close(self):
        """End all processes."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._copy_events()
        self._out.close()
        self._work.cleanup()


def run(folder, play, **options):
    """Play a case; return 1 if it returns faults, 0 if none, 2 if it fails.

    Args:
        play: coroutine function that takes the site and whether to make
            trouble, and returns the list of broken rules.
    """
    reactor.seconds = time.monotonic
    # Errors of calls whose peer has ended are part of the case.
    log.startLoggingWithObserver(lambda event: None, setStdout=False)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    results = []
    site = Site(folder, **options)

    async def play_and_stop():
        try:
            site.start_hosts()
            await site.wait_until_serving()
            results.append(await play(site, trouble))
        except Exception as error:
            site.write(f"the case couldn't run: {error!r}")
        if reactor.running:
            reactor.stop()

    reactor.callWhenRunning(lambda: defer.ensureDeferred(play_and_stop()))
    reactor.callLater(MAX_RUN_S, reactor.stop)
    try:
        reactor.run()
    finally:
        for text in results[0] if results else ():
            site.write(f"BROKEN {text}")
        if os.environ.get("KEEP_LOGS"):
            for name in site.process_by_name:
                target = pathlib.Path(os.environ["KEEP_LOGS"]) / name
                target.write_text(site.log_of(name))
        site.close()
    if not results:
        return 2
    return 1 if results[0] else 0
