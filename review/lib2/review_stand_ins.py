"""Stand-ins for a small site, and the project's hosts as processes.

Written from the platform's pages alone: the store, the machines' API, the
runners and the load balancer. Everything listens on loopback addresses. The
entry hosts are the project's own program, started with the command of the
deploy file. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
import tomllib
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOLD_MAX_S = 10.0
HEARTBEAT_S = 1.5
STARTUP_S = 0.7
ZONES = ("ikeja", "lekki", "apapa", "ibadan")
CLIENT_HOST = "orders.example"
API_KEY = "review-key"


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / "record.txt"
        self._lines = []
        self._zero = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._zero

    def add(self, text):
        """Add a line."""
        self._lines.append(f"{self.now():8.3f}  {text}")

    def write(self, verdict):
        """Write all lines to the case's folder."""
        self.add(verdict)
        self._path.write_text("\n".join(self._lines) + "\n")


class HttpServer:
    """Answers HTTP/1.1 requests on one loopback address.

    Args:
        handle: coroutine that gets method, path, query, headers and body,
            and returns status and body, or None for no answer.
    """

    def __init__(self, ip, handle, port=0):
        self.ip, self.port = ip, port
        self._handle = handle
        self._server = None
        self._writers = set()

    @property
    def address(self):
        """Address and port."""
        return f"{self.ip}:{self.port}"

    async def open(self):
        """Begin to listen."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Refuse connections and reset the open ones, as a crash does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        data = await reader.readexactly(int(headers.get("content-length", 0)))
        body = json.loads(data) if data else None
        path, _, query = target.partition("?")
        query = dict(parse.parse_qsl(query, keep_blank_values=True))
        answer = await self._handle(method, path, query, headers, body)
        if answer is None:
            # The caller gives up and closes the connection.
            await reader.read()
            return False
        status, body = answer
        data = json.dumps(body).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()
        return True


class Store:
    """Rows, transactions and the feed of changes of the platform's store."""

    def __init__(self, ip):
        self.server = HttpServer(ip, self._handle)
        self.rows = {}
        self.version = 0
        self._log = []
        self._forgotten = 0
        self._changed = asyncio.Event()

    def put(self, table, key, value, part=""):
        """Write or delete a row, as operators and runners do."""
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply({(table, part, key): text})

    def value(self, table, key, part=""):
        """Return a row's decoded value, or None."""
        row = self.rows.get((table, part, key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    def forget_history(self):
        """Discard all changes; feeds from before get 410."""
        self._forgotten = self.version
        self._log.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    def _apply(self, changes):
        self.version += 1
        for key, text in changes.items():
            if text is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = text, self.version
            self._log.append((self.version, key))
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, key):
        row = self.rows.get(key)
        named = dict(zip(("table", "part", "key"), key, strict=True))
        if row is None:
            return {**named, "schemaVersion": 0, "deleted": True}
        return {**named, "value": row[0], "schemaVersion": row[1]}

    def _answer(self, status, **fields):
        now_ms = round(time.monotonic() * 1000)
        return status, {
            "schemaVersion": self.version,
            "nowMs": now_ms,
            **fields,
        }

    async def _handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == "/azurevane/rows-tx":
            return self._transact(body)
        if path == "/azurevane/rows-get":
            return self._read(query)
        if path == "/azurevane/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, body):
        for entry in body["expectedRev"]:
            key = entry["table"], entry["part"], entry["key"]
            if self.rows.get(key, ("", 0))[1] != entry["schemaVersion"]:
                rows = [
                    self._row((e["table"], e["part"], e["key"]))
                    for e in body["expectedRev"]
                ]
                return self._answer(412, rows=rows)
        changes = {
            (e["table"], e["part"], e["key"]): e["value"]
            for e in body["setKeys"]
        }
        for e in body["delete"]:
            changes[e["table"], e["part"], e["key"]] = None
        self._apply(changes)
        return self._answer(200)

    def _read(self, query):
        wanted = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == wanted
            and key[2] >= first
            and (end is None or key[2] < end)
        )
        rows = [self._row(key) for key in keys[:limit]]
        return self._answer(200, rows=rows, hasMore=len(keys) > limit)

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if after < self._forgotten:
                return 410, {}
            changed = self._changed
            last = {
                key: version
                for version, key in self._log
                if key[0] == table and version > after
            }
            left_s = deadline - time.monotonic()
            if last or left_s <= 0:
                ordered = sorted(last, key=last.get)
                return self._answer(200, rows=[self._row(k) for k in ordered])
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


class Runner:
    """A runner at one address; it may crash and start again.

    The ``spec`` of a job says in JSON how long its tasks work (``work_s``).

    Attributes:
        intercept: returns for a command's path and body "pass", or "late"
            (no answer; it is carried out once ``deliver_late`` is called).
        dark: whether the machine has no power.
        cut: whether it is cut off from the hosts, and runs on.
    """

    def __init__(self, site, ip, name, service, zone, **options):
        self.site, self.name = site, name
        self.service, self.zone = service, zone
        self.labels = options.get("labels", ["a", "r0-0"])
        self.cpu = options.get("cpu", 32000)
        self.server = HttpServer(ip, self._handle)
        self.intercept = lambda path, body: "pass"
        self.late = []
        self.up = self.dark = self.cut = False
        self.boot_count = 0
        self._timers = set()

    async def boot(self):
        """Start with nothing known of before, and register."""
        self.boot_count += 1
        self.born = round(time.time() * 1000)
        self._clock_zero = time.monotonic() - 1.0
        self.fence = 0
        self.running, self.finished = {}, []
        self._end_count, self._ended_attempt = 0, {}
        self._expires_ms = 0
        self._listed = asyncio.Event()
        self._sequence = 0
        if self.dark:
            # Its new life knows nothing of the connections of the last one.
            self.server.close()
            self.dark = False
        await self.server.open()
        self.up = True
        self.site.record.add(
            f"runner {self.name} boots (life {self.boot_count})"
        )
        boot = self.boot_count
        asyncio.ensure_future(self._beat(boot))
        asyncio.ensure_future(self._expire(boot))

    def crash(self, *, dark=False):
        """End at once: all runs end, and nothing is told.

        Args:
            dark: whether the machine has no power, so that connections hang
                instead of being reset.
        """
        self.up = False
        self.dark = dark
        if not dark:
            self.server.close()
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        for task, run in self.running.items():
            self.site.log_run("crashed", self, task, run["attempt"])
        self.running = {}
        how = "loses power" if dark else "crashes"
        self.site.record.add(f"runner {self.name} {how}")

    async def _beat(self, boot):
        while self.up and self.boot_count == boot:
            self._sequence += 1
            self.site.store.put(
                "servers",
                self.name,
                {
                    "service": self.service,
                    "address": self.server.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "warmupLeftMs": 0,
                    "capacity": self._capacity(),
                    "labels": self.labels,
                    "clockMs": self._clock_ms(),
                    "sequence": self._sequence,
                    "born": self.born,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)
        # After three intervals of silence the platform removes the entry.
        await asyncio.sleep(2 * HEARTBEAT_S)
        if self.boot_count == boot:
            self.site.store.put("servers", self.name, None)

    async def _expire(self, boot):
        while self.up and self.boot_count == boot:
            await asyncio.sleep(0.02)
            if self.running and self._clock_ms() >= self._expires_ms:
                for task in list(self.running):
                    self._end(task, "lapsed")

    def _capacity(self):
        return {"cpu": self.cpu, "memMb": 131072, "gpu": 0}

    def _clock_ms(self):
        return round((time.monotonic() - self._clock_zero) * 1000)

    def _extend(self, body):
        latest = self._clock_ms() + HOLD_MAX_S * 1000
        wanted = min(body.get("expiresMs", 0), latest)
        self._expires_ms = max(self._expires_ms, wanted)

    def _answer(self, status, **fields):
        return status, {
            "clockMs": self._clock_ms(),
            "born": self.born,
            **fields,
        }

    async def _handle(self, method, path, query, headers, body):
        how = self.intercept(path, body)
        if how == "late":
            self.note(how, path, body)
            self.late.append((path, body))
        if how != "pass" or self.dark or self.cut:
            return None
        if path == "/healthz":
            return 200, {}
        if headers.get("x-target-instance") != self.name:
            return 421, {}
        answer = await self._carry_out(path, body)
        # What it says during a cut or without power doesn't arrive.
        return None if self.dark or self.cut else answer

    def note(self, how, path, body):
        """Record what happens to a command."""
        self.site.record.add(f"{self.name} {how}: {path} {_brief(body)}")

    async def deliver_late(self):
        """Carry out the late commands in whichever life runs now."""
        late, self.late = self.late, []
        for path, body in late:
            status, answer = await self._carry_out(path, body)
            result = f"{status} {answer.get('reason', '')}"
            self.note(f"carries out late ({result})", path, body)

    async def _carry_out(self, path, body):
        if body["fencingToken"] < self.fence:
            return self._answer(409, reason="fence")
        self.fence = body["fencingToken"]
        if path == "/azurevane/run-start":
            return self._start(body)
        if path == "/azurevane/run-stop":
            return self._stop(body)
        if path == "/azurevane/hold":
            return await self._hold(body)
        return self._answer(200)

    def _start(self, body):
        task, attempt = body["task"], body["attempt"]
        run = self.running.get(task)
        if run is not None and run["attempt"] == attempt:
            return self._answer(200)
        if run is not None or attempt <= self._ended_attempt.get(task, 0):
            self._extend(body)
            return self._answer(409, reason="old")
        if body["expiresMs"] <= self._clock_ms():
            return self._answer(409, reason="late")
        spec = json.loads(body["spec"])
        used = sum(other["cpu"] for other in self.running.values())
        self._extend(body)
        if used + spec["cpu"] > self.cpu:
            return self._answer(409, reason="room")
        self.running[task] = {
            "attempt": attempt,
            "cpu": spec["cpu"],
            "began": time.monotonic(),
            "work_s": spec.get("work_s"),
        }
        if spec.get("work_s") is not None:
            self._after(spec["work_s"], self._end, task, "done", attempt)
        self.site.log_run("start", self, task, attempt, body["fencingToken"])
        return self._answer(200)

    def _after(self, delay_s, call, *args):
        timer = asyncio.get_running_loop().call_later(delay_s, call, *args)
        self._timers.add(timer)

    def _stop(self, body):
        task, attempt = body["task"], body["attempt"]
        run = self.running.get(task)
        self.site.record.add(
            f"{self.name} is told to stop {task} run {attempt}"
        )
        if run is not None and run["attempt"] == attempt:
            self._after(0.1, self._end, task, "stopped", attempt)
        else:
            ended = self._ended_attempt.get(task, 0)
            self._ended_attempt[task] = max(ended, attempt)
        return self._answer(200)

    def _end(self, task, how, attempt=None):
        run = self.running.get(task)
        if run is None or attempt not in (None, run["attempt"]):
            return
        del self.running[task]
        self._end_count += 1
        ended = self._ended_attempt.get(task, 0)
        self._ended_attempt[task] = max(ended, run["attempt"])
        row = [self._end_count, task, run["attempt"], how, ""]
        self.finished.append(row)
        self.site.log_run(how, self, task, run["attempt"])
        self._listed.set()
        self._listed = asyncio.Event()

    async def _hold(self, body):
        seen = body["lastSeen"]
        for number, task, attempt, _, _ in self.finished:
            if number <= seen:
                self.site.noted_ends.add((task, attempt))
        self.finished = [row for row in self.finished if row[0] > seen]
        self._extend(body)
        if not self.finished and body.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._listed.wait(), body["waitMs"] / 1000
                )
        running = [
            [task, run["attempt"], "", self.percent(task), 0]
            for task, run in self.running.items()
        ]
        return self._answer(200, running=running, finished=self.finished[:500])

    def percent(self, task):
        """Return how far a task is; 100 if it lasts and is at work."""
        run = self.running[task]
        age_s = time.monotonic() - run["began"]
        return min(int(100 * age_s / (run["work_s"] or STARTUP_S)), 100)


def _brief(body):
    if "task" not in body:
        return f"lastSeen {body['lastSeen']}"
    return f"{body['task']} run {body['attempt']}"


class Site:
    """The platform, its runners, and the project's entry hosts."""

    def __init__(self, folder, host_count=3):
        self.bounds = {}
        self.record = Record(folder)
        # An address range of its own for each script.
        pid = os.getpid()
        self._net = f"127.{60 + pid % 180}.{pid // 180 % 250}"
        self.store = Store(self.ip(1))
        self.cloud = HttpServer(self.ip(2), self._handle_cloud)
        self.advisor = f"{self.ip(3)}:8344"
        self.runners = []
        self.runs = []
        # Task and run of the ends that were taken note of.
        self.noted_ends = set()
        self._work = tempfile.TemporaryDirectory()
        self._host_numbers = range(host_count)
        self.process_by_host = {}
        self.cloud_calls = []
        self.machine_options = {}

    def ip(self, number):
        """Return a loopback address of this site."""
        return f"{self._net}.{number}"

    def log_run(self, event, runner, task, attempt, token=0):
        """Note what a runner does with a run."""
        self.runs.append((time.monotonic(), event, runner.name, task, attempt))
        self.record.add(
            f"{runner.name} {event} {task} run {attempt}"
            + (f" token {token}" if token else "")
        )

    def add_runner(self, name, service="quotes", zone="ikeja", **options):
        """Add a runner, which boots with the site."""
        number = 100 + len(self.runners)
        runner = Runner(self, self.ip(number), name, service, zone, **options)
        self.runners.append(runner)
        return runner

    async def _handle_cloud(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path != "/azurevane/machines":
            self.cloud_calls.append((time.monotonic(), path, body))
            return 409, {"reason": "busy"}
        machines = [
            {
                "machine": f"m-{runner.name}",
                "pool": runner.service,
                "state": "up" if runner.up else "down",
                "zone": runner.zone,
                "labels": runner.labels,
                "capacity": {"cpu": runner.cpu, "memMb": 131072, "gpu": 0},
                "id": runner.name,
            }
            for runner in self.runners
        ]
        return 200, {"machines": machines, "nextToken": None}

    def settings(self, number):
        """Return the settings of an entry host, as the pages show them."""
        ip = self.ip(10 + number)
        zone = ZONES[number % len(ZONES)]
        return {
            "nodeName": f"frontend-{zone}-{1 + number // 4}",
            "role": "host",
            "machineClass": "frontend",
            "serves": ["frontend"],
            "ip": ip,
            "zone": zone,
            "region": "ng-west",
            "zones": dict.fromkeys(ZONES, "ng-west"),
            "listenAddrs": {
                "frontend": f"{ip}:8340",
                "readiness": f"{ip}:8343",
            },
            "internalPorts": [7000, 7015],
            "seeds": [],
            "bootstrap": True,
            "countsAsLoss": False,
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
            "entry": "vip",
            "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "sched", "platform"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {
                "contactMs": 3000,
                "ackMs": 4000,
                "drainMs": 2000,
                "graceS": 6,
                "lossSlackMs": 200,
                "configApplyMs": 2000,
                "evacuateMs": 5000,
                "recoveryS": 12,
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
                "thawMs": 300,
                "paceMs": 100,
                "harmMs": 4000,
                **self.bounds,
            },
            "controlMode": "request",
            "advisor": self.advisor,
            "platform": {
                "address": self.store.server.address,
                "form": "table",
                "writesPerS": 600,
                "readsPerS": 2000,
                "txnMs": 5.0,
                "partWritesS": 200,
                "rowBytes": 65536,
                "crossShard": False,
                "historyS": 20,
                "blobBytes": 8388608,
                "blobMs": 25.0,
                "blobMbS": 80.0,
            },
            "cloudApi": {
                "address": self.cloud.address,
                "ratePerS": 64.0,
                "duties": [],
                "dutyPerS": 64.0,
            },
        }

    def put_config(self, version=7, routes=("quotes",), **route_fields):
        """Write the operator's config; each service has one queue."""
        self.store.put(
            "op",
            "config",
            {
                "version": version,
                "routes": [
                    {
                        "name": f"r-{service}",
                        "host": CLIENT_HOST,
                        "pathPrefix": f"/{service}/",
                        "type": "unsafe",
                        "timeoutMs": 3000,
                        "targetLatencyMs": 600,
                        "priority": 0,
                        "service": service,
                        "attempts": 2,
                        "deadlineFactor": 1.6,
                        "public": False,
                        **route_fields,
                    }
                    for service in routes
                ],
                "services": [
                    {
                        "name": service,
                        "healthPath": "/healthz",
                        "maxConns": 64,
                        "protocol": "h1",
                        "tls": False,
                        "warmupS": 0.0,
                        "warmupPerS": 0.0,
                        "constraints": True,
                        "standby": False,
                    }
                    for service in routes
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
                "tenants": [
                    {
                        "name": "north",
                        "apiKeys": [API_KEY],
                        "priority": 1,
                        "weight": 31,
                        "cap": {"cpu": 0, "memMb": 0, "gpu": 0},
                    }
                ],
            },
        )

    async def open(self):
        """Start the platform, the runners and the entry hosts."""
        await self.store.server.open()
        await self.cloud.open()
        for runner in self.runners:
            await runner.boot()
        for number in self._host_numbers:
            await self.start_host(number)
        await self.await_ready()

    async def start_host(self, number):
        """Start an entry host with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["host"]["run"].split()
        path = pathlib.Path(self._work.name) / f"host-{number}.json"
        path.write_text(json.dumps(self.settings(number)))
        log = (path.parent / f"host-{number}.log").open("ab")
        self.process_by_host[number] = await asyncio.create_subprocess_exec(
            sys.executable if command[0] == "python3" else command[0],
            *command[1:],
            cwd=ROOT,
            env={
                **os.environ,
                "AZUREVANE_CONFIG": str(path),
                "PYTHONPATH": str(ROOT / "target/deps"),
            },
            stdout=log,
            stderr=log,
            process_group=0,
        )
        log.close()

    async def kill_host(self, number):
        """End an entry host's process at once."""
        self.process_by_host[number].kill()
        await self.process_by_host[number].wait()
        self.record.add(f"host {number} is killed")

    def leader(self):
        """Return the number of the host that the store shows as leader."""
        for (table, _, key), (text, _) in self.store.rows.items():
            if table == "azurevane-leader" and key == "owner":
                holder = json.loads(base64.b64decode(text)).get("holder")
                for number in self._host_numbers:
                    if self.settings(number)["nodeName"] == holder:
                        return number
        return None

    async def await_ready(self):
        """Wait until every entry host says that it is ready.

        Raises:
            RuntimeError: one isn't within 20 seconds.
        """
        deadline = time.monotonic() + 20
        for number in self._host_numbers:
            address = f"{self.ip(10 + number)}:8343"
            while True:
                status, _ = await call(address, "GET", "/azurevane/readyz")
                if status == 200:
                    break
                if time.monotonic() > deadline:
                    raise RuntimeError(f"host {number} isn't ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    async def ask(self, method, path, body=None, tries=4):
        """Send a client's request; after no answer ask another host.

        Returns:
            The status, 0 for no answer, and the decoded body.
        """
        status, answer = 0, None
        for number in itertools.islice(
            itertools.cycle(self._host_numbers), tries
        ):
            address = f"{self.ip(10 + number)}:8340"
            status, answer = await call(address, method, path, body)
            self.record.add(
                f"client {method} {path} at host {number}: {status}"
                f" {json.dumps(answer)}"
            )
            if status not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.5)
        return status, answer

    async def submit(self, job_id, phases, spec, service="quotes"):
        """Hand in a job; whether it was accepted."""
        status, _ = await self.ask(
            "POST",
            f"/{service}/{job_id}",
            {"spec": json.dumps(spec), "phases": phases},
        )
        return 200 <= status < 300

    async def close(self):
        """End every process that this site started."""
        for process in self.process_by_host.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.killpg(process.pid, signal.SIGKILL)
                await process.wait()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            for log in pathlib.Path(self._work.name).glob("*.log"):
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
        self._work.cleanup()


async def call(address, method, path, body=None, timeout_s=3.0):
    """Send one request on a connection of its own; status 0: no answer."""
    ip, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {CLIENT_HOST}\r\n"
                    f"Authorization: Bearer {API_KEY}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                head = await reader.readuntil(b"\r\n\r\n")
                status = int(head.split(b" ", 2)[1])
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                text = await reader.readexactly(length)
                return status, json.loads(text) if text else None
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None


def overlapping_runs(runs):
    """Return tasks with two runs at the same time on runners that are up."""
    open_runs, found = {}, []
    for at, event, runner, task, attempt in runs:
        here = open_runs.setdefault(task, {})
        if event == "start":
            here[runner] = attempt
            if len(here) > 1:
                found.append((at, task, dict(here)))
        else:
            here.pop(runner, None)
    return found


def main(folder, case, host_count=3):
    """Play a case; exit with 0 (held), 1 (broken) or 2 (couldn't run)."""

    async def play():
        site = Site(folder, host_count)
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        verdict, text = NOT_RUN, "the case couldn't run"
        try:
            async with asyncio.timeout(110):
                verdict, text = await case(site)
        except Exception as error:
            text = f"the case couldn't run: {error!r}"
        finally:
            await site.close()
            names = {HELD: "HELD", BROKEN: "BROKEN", NOT_RUN: "NOT RUN"}
            site.record.write(f"{names[verdict]}: {text}")
            sys.stdout.write(f"{names[verdict]}: {text}\n")
        return verdict

    sys.exit(asyncio.run(play()))
