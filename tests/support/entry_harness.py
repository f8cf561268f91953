"""The callers' side of an entry process, in this process."""

import hashlib
import json
import socket
import time

from twisted.internet import reactor
from twisted.internet import task

from azurevane._internal.callers import channel
from azurevane._internal.daemons import entry_service
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest
from azurevane._internal.tasks import dispatcher
from azurevane._internal.tasks import state_keeper
from azurevane._internal.upstreams import client
from support import raw_runner
from support import reactor_thread

API_KEY = "mills-secret-key"
MAX_BODY_BYTES = 200_000


def build_state(runner_ports, max_run_s=1.5, max_body_bytes=MAX_BODY_BYTES):
    queues = tuple(
        manifest.Queue(
            name, "p", teams, max_body_bytes, 2000, max_run_s=max_run_s
        )
        for name, teams in (("quoting", ("mills",)), ("open", ()))
    )
    teams = (manifest.Team("mills", 1, 50), manifest.Team("other", 1, 50))
    runners = tuple(
        manifest.Runner(f"r-{index}", "p", "z", "127.0.0.1", port)
        for index, port in enumerate(runner_ports)
    )
    pools = (manifest.Pool("p"),)
    keys = tuple(
        fleet.ApiKey(hashlib.sha256(key.encode()).hexdigest(), team)
        for key, team in ((API_KEY, "mills"), ("other-key", "other"))
    )
    return fleet.FleetState(
        1,
        "t",
        manifest.Manifest("s", "r", ("z",), teams, pools, queues, runners),
        keys,
    )


class Entry:
    """Serves callers on loopback, in front of raw runners."""

    def __init__(self, serves, **options):
        self.runners = [raw_runner.RawRunner(serve) for serve in serves]
        ports = [runner.port for runner in self.runners]
        reactor_thread.call(self._start, build_state(ports, **options))

    def _start(self, state):
        now = reactor.seconds()
        keeper = state_keeper.StateKeeper("entry-1", "i", (), now)
        keeper.offer(now, state, 1, "store")
        self._confirming = task.LoopingCall(
            lambda: keeper.store_confirmed(reactor.seconds(), state.version, 1)
        )
        self._confirming.start(0.5)
        self.dispatcher = dispatcher.Dispatcher()
        self.dispatcher.configure(reactor.seconds(), state)
        self.client = client.RunnerClient(reactor)
        self.service = entry_service.EntryService(
            reactor, keeper, self.dispatcher, self.client
        )
        self.factory = channel.CallersFactory(reactor, self.service)
        self._port = reactor.listenTCP(0, self.factory, interface="127.0.0.1")
        self.port = self._port.getHost().port

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.port), timeout=20)

    def running(self):
        return reactor_thread.call(lambda: self.dispatcher.running)

    def stop(self):
        reactor_thread.call(self._confirming.stop)
        reactor_thread.call(self._port.stopListening)
        reactor_thread.call(self.client.close)
        for runner in self.runners:
            runner.stop()


def build_request(method="POST", path="/q/quoting/price", body=b"", **headers):
    lines = [f"{method} {path} HTTP/1.1", "Host: h"]
    headers.setdefault("Authorization", f"Bearer {API_KEY}")
    if "Transfer_Encoding" not in headers and (body or method == "POST"):
        headers.setdefault("Content_Length", len(body))
    lines += [
        f"{name.replace('_', '-')}: {value}"
        for name, value in headers.items()
        if value is not None
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Answer:
    """One answer read from a connection; ``whole`` by its framing."""

    def __init__(self, connection, method="GET", rest=b""):
        self.began_at = time.monotonic()
        self._connection = connection
        self._data = rest
        self.broken = False
        head = self._read_until(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split(" ")[1]) if lines[0] else 0
        self.headers = {
            name.lower(): value
            for name, _, value in (line.partition(": ") for line in lines[1:])
        }
        self.body = b""
        bodiless = method == "HEAD" or self.status in (0, 100, 204, 304)
        self.whole = bool(head) and (bodiless or self._read_body())
        self.rest = self._data

    def _receive(self):
        try:
            part = self._connection.recv(65536)
        except ConnectionError:
            self.broken = True
            part = b""
        self._data += part
        return part

    def _read_until(self, mark):
        while mark not in self._data:
            if not self._receive():
                return b""
        found, _, self._data = self._data.partition(mark)
        return found

    def _read_count(self, count):
        while len(self._data) < count:
            if not self._receive():
                return False
        self.body += self._data[:count]
        self._data = self._data[count:]
        return True

    def _read_body(self):
        if "content-length" in self.headers:
            return self._read_count(int(self.headers["content-length"]))
        while True:
            size = self._read_until(b"\r\n")
            if not size or not self._read_count(int(size, 16)):
                return False
            if not int(size, 16):
                return self._read_until(b"\r\n") == b""
            self._read_until(b"\r\n")

    @property
    def problem(self):
        return json.loads(self.body)
