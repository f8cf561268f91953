"""A small site for the scripts: the platform here, entry hosts as processes.

The platform is the project's own stand-in (``azurevane._internal.standins``),
served on loopback ports. Runners renew their entries as the protocol says.
"""

import io
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import traceback

from twisted import logger
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers

from azurevane._internal.standins import site_server

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 115.0
HEARTBEAT_S = 1.5
API_KEY = "review-key"
CALLERS_HOST = "review.example"
# The deploy file names the port; each entry host has an address of its own.
COMMAND = (
    "python3 deploy/host.py --metrics-port 9464 --settings deploy/host.ini"
)

# Those of the site file dwl-vane, as the settings show them.
BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "drainMs": 2000,
    "graceS": 6,
    "configApplyMs": 2000,
    "holdMaxMs": 10000,
    "stopMs": 900,
    "gangMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remoteSlowdown": 1.5,
    "checkpointS": 2,
    "restoreMs": 600,
    "noticeMs": 4500,
    "migrateS": 1.5,
    "maintenanceS": 2,
    "fencingEnforced": False,
    "leaseMs": 3000,
    "harmMs": 4000,
}


def sleep(seconds):
    """Return a Deferred that fires after some seconds."""
    return task.deferLater(reactor, seconds, lambda: None)


def pick_network():
    """Return the first three bytes of loopback addresses for this run."""
    return f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}"


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w")
        self._began_at = reactor.seconds()

    def now(self):
        """Return the seconds since the beginning."""
        return reactor.seconds() - self._began_at

    def write(self, *words):
        """Write a line with the time."""
        text = " ".join(str(word) for word in words)
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Site:
    """The platform, its runners and the entry hosts' processes."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.server = site_server.SiteServer(reactor)
        self.platform = self.server.platform
        self.store = self.platform.store
        self.process_by_name = {}
        self.address_by_name = {}
        self.bounds = dict(BOUNDS)
        self._network = pick_network()
        self._work = tempfile.TemporaryDirectory()
        self._agent = client.Agent(reactor, connectTimeout=1.0)
        self._listen_to_runners()
        self._heartbeat = task.LoopingCall(self._renew_entries)
        self._heartbeat.start(HEARTBEAT_S, now=False)

    def _listen_to_runners(self):
        record_event = self.platform._record_event

        def write(event, runner, name, attempt):
            record_event(event, runner, name, attempt)
            self.record.write("runner", runner, event, name, attempt)

        self.platform._record_event = write

    def _renew_entries(self):
        for host in self.platform.host_by_name.values():
            runner = host.runner
            if runner is not None and not runner.crashed:
                self.platform.register(runner)

    # Setup.

    def put_config(self, routes, services, version=3, **tenant):
        """Write the configuration, as the operator does."""
        config = {
            "version": version,
            "routes": [
                {
                    "host": CALLERS_HOST,
                    "type": "unsafe",
                    "timeoutMs": 3000,
                    "targetLatencyMs": 600,
                    "priority": 0,
                    "attempts": 2,
                    "deadlineFactor": 1.6,
                    "public": False,
                    **route,
                }
                for route in routes
            ],
            "services": services,
            "tenants": [
                {
                    "name": "north",
                    "apiKeys": [API_KEY],
                    "weight": 100,
                    "cap": {"cpu": 0, "memMb": 0, "gpu": 0},
                    **tenant,
                }
            ],
        }
        self.store.put("op", "config", json.dumps(config).encode())

    def start_host(self, name):
        """Start an entry host with the command of the deploy file."""
        number = len(self.address_by_name) + 1
        ip = self.address_by_name.setdefault(name, f"{self._network}.{number}")
        link = self.server.link_by_host.get(name)
        if link is None:
            self.server.add_host_link(name)
            link = self.server.link_by_host[name]
            link.port = self._port_of(link)
        settings = {
            "nodeName": name,
            "role": "host",
            "machineClass": "frontend",
            "serves": ["frontend"],
            "ip": ip,
            "zone": "east",
            "region": "one",
            "zones": {"east": "one"},
            "listenAddrs": {
                "frontend": f"{ip}:8340",
                "readiness": f"{ip}:8343",
            },
            "internalPorts": [7000, 7015],
            "limits": {"cpuShare": 0.537, "cores": 2, "linkMbps": 1000.0},
            "heartbeatMs": round(HEARTBEAT_S * 1000),
            "bounds": self.bounds,
            "controlMode": "request",
            "platform": {
                "address": f"127.0.0.1:{link.port}",
                "form": "table",
                "rowBytes": 65536,
            },
            "cloudApi": {
                "address": f"127.0.0.1:{self.server.hosts_port}",
                "ratePerS": 64.0,
                "dutyPerS": 64.0,
            },
        }
        path = pathlib.Path(self._work.name) / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = (pathlib.Path(self._work.name) / f"{name}.log").open("ab")
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        self.process_by_name[name] = subprocess.Popen(
            COMMAND.split(),
            cwd=ROOT,
            env={
                **environment,
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "AZUREVANE_CONFIG": str(path),
            },
            stdout=log,
            stderr=log,
        )
        self.record.write("started", name, "at", ip)

    def _port_of(self, link):
        for reader in reactor.getReaders():
            if getattr(reader, "factory", None) is link:
                return reader.getHost().port
        raise LookupError("the link has no port")

    def log_of(self, name):
        """Return what an entry host has logged."""
        path = pathlib.Path(self._work.name) / f"{name}.log"
        return path.read_text(errors="replace")

    def leader(self):
        """Return the name of the entry host that leads, or an empty text."""
        value = self.store.value("azurevane-leader", "", "owner")
        return json.loads(value)["holder"] if value else ""

    def running_runners(self, service):
        """Return the runners of a service that run and don't drain."""
        return [
            host.runner
            for host in self.platform.host_by_name.values()
            if host.runner is not None
            and not host.runner.crashed
            and host.runner.service == service
            and host.runner.state == "ready"
        ]

    async def await_ready(self, limit_s=30.0):
        """Wait until a leader has published counts of pending jobs."""
        end = reactor.seconds() + limit_s
        while reactor.seconds() < end:
            value = self.store.value("azurevane-leader", "", "alive")
            row = json.loads(value) if value else {}
            if row.get("pending_by_queue") is not None:
                self.record.write("leader", self.leader())
                return
            await sleep(0.1)
        raise RuntimeError("no entry host leads")

    # Callers.

    async def call(self, host, method, path, body=None, timeout_s=3.0):
        """Return the status and the body of a call, or 0 and None."""
        ip = self.address_by_name[host]
        headers = http_headers.Headers(
            {
                "Host": [CALLERS_HOST],
                "Authorization": [f"Bearer {API_KEY}"],
                "Content-Type": ["application/json"],
            }
        )
        producer = None
        if body is not None:
            data = json.dumps(body).encode()
            producer = client.FileBodyProducer(io.BytesIO(data))
        url = f"http://{ip}:8340{path}".encode()
        asked = self._agent.request(method.encode(), url, headers, producer)
        asked.addTimeout(timeout_s, reactor)
        try:
            response = await asked
            reading = client.readBody(response)
            reading.addTimeout(timeout_s, reactor)
            text = await reading
        except Exception as error:
            self.record.write(method, path, "at", host, "no answer", error)
            return 0, None
        content = json.loads(text) if text else None
        self.record.write(
            method, path, "at", host, "answered", response.code, content
        )
        return response.code, content

    async def submit(self, host, path, phases, spec="review"):
        """Submit a job until it is accepted; callers repeat at any host."""
        for _ in range(8):
            body = {"spec": spec, "phases": phases}
            status, _ = await self.call(host, "POST", path, body)
            if status == 200:
                return
            await sleep(0.5)
        raise RuntimeError(f"{path} wasn't accepted")

    def close(self):
        """End all processes that the script has started."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            target = pathlib.Path(os.environ["KEEP_LOGS"])
            for name in self.process_by_name:
                (target / f"{name}.log").write_text(self.log_of(name))
        self._work.cleanup()


def main(scenario, case_file):
    """Run a scenario; exit 1 if it returns what broke the rule, else 0."""
    folder = pathlib.Path(case_file).resolve().parent
    site = Site(folder)
    outcome = [NOT_RUN]

    async def play():
        try:
            broken = await scenario(site)
        except Exception:
            site.record.write("not run:", traceback.format_exc())
            return
        for line in broken:
            site.record.write("BROKEN", line)
        if not broken:
            site.record.write("HELD")
        outcome[0] = BROKEN if broken else HELD

    def stop(_):
        if reactor.running:
            reactor.stop()

    # The stand-in doesn't handle the calls that its faults break off.
    logger.globalLogBeginner.beginLoggingTo([], redirectStandardIO=False)

    def begin():
        playing = defer.ensureDeferred(play())
        playing.addTimeout(LIMIT_S, reactor)
        playing.addBoth(stop)

    reactor.callWhenRunning(begin)
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(stop, 0))
    try:
        reactor.run()
    finally:
        site.close()
    last = (folder / "record.txt").read_text().splitlines()[-1]
    sys.stdout.write(f"{last}\n")
    sys.exit(outcome[0])
