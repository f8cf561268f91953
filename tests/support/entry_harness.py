"""Runs the callers' side of an entry host in the test process."""

import dataclasses
import hashlib
import http.client
import json
import socket

import claim_site
from twisted.internet import reactor
from twisted.internet import task

from azurevane._internal.callers import channel
from azurevane._internal.daemons import entry_claims
from azurevane._internal.daemons import entry_service
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest
from azurevane._internal.table_service import claim_journal
from azurevane._internal.tasks import dispatcher
from azurevane._internal.tasks import permits
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
        seats=tuple(fleet.Seat(n, "entry-1", "i", 1) for n in range(6)),
    )


class EntryHarness:
    """Entry host on loopback that sends requests to raw runners."""

    def __init__(self, serves, **options):
        self.runners = [raw_runner.RawRunner(serve) for serve in serves]
        ports = [runner.port for runner in self.runners]
        reactor_thread.call(self._start, build_state(ports, **options))

    def _start(self, state):
        now = reactor.seconds()
        self.keeper = keeper = state_keeper.StateKeeper(
            "entry-1", "i", (), now
        )
        keeper.offer(now, state, 1, "store")
        self._confirm_loop = task.LoopingCall(
            lambda: keeper.store_confirmed(reactor.seconds(), state.version, 1)
        )
        self._confirm_loop.start(0.5)
        local = permits.LocalPermits()
        local.configure(reactor.seconds(), state)
        self.dispatcher = dispatcher.Dispatcher(local, "z")
        self.dispatcher.configure(reactor.seconds(), state)
        self.client = client.RunnerClient(reactor)
        self.site = claim_site.TableSite(reactor)
        table = claim_site.FaultyTable(self.site, claim_site.NeverPausedHost())
        self.claims = entry_claims.EntryClaims(
            reactor,
            "entry-1",
            "i",
            claim_journal.ClaimJournal(table),
            lambda peer, message: None,
        )
        self.claims.configure(state)
        self.service = entry_service.EntryService(
            reactor, keeper, self.dispatcher, self.client, self.claims
        )
        self._tick_loop = task.LoopingCall(self._tick)
        self._tick_loop.start(entry_claims.TICK_INTERVAL_S)
        self.factory = channel.CallersFactory(reactor, self.service)
        self._port = reactor.listenTCP(0, self.factory, interface="127.0.0.1")
        self.port = self._port.getHost().port

    def _tick(self):
        self.claims.tick()
        self.service.tick()

    def requests(self):
        return [item for runner in self.runners for item in runner.requests]

    def withdraw_keys(self):
        state = dataclasses.replace(self.keeper.state, version=2, api_keys=())
        self.keeper.offer(reactor.seconds(), state, 2, "store")
        self.keeper.store_confirmed(reactor.seconds(), 2, 2)

    def fill_retry_budget(self):
        budget = self.service._attempt_sender._retry_budget

        def record_successes():
            for _ in range(100):
                budget.record_success(reactor.seconds())

        reactor_thread.call(record_successes)

    def running(self):
        return reactor_thread.call(lambda: self.dispatcher.running)

    def stop(self):
        reactor_thread.call(self._confirm_loop.stop)
        reactor_thread.call(self._port.stopListening)
        reactor_thread.call(self._tick_loop.stop)
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


class CallerConnection:
    """A connection to an entry host; responses are read in order."""

    def __init__(self, entry):
        address = ("127.0.0.1", entry.port)
        self.socket = socket.create_connection(address, timeout=20)
        self._file = self.socket.makefile("rb")
        self._file.close = lambda: None

    def send(self, data):
        self.socket.sendall(data)

    def makefile(self, mode):
        return self._file

    def read_answer(self, method="GET"):
        """Return the next response, with status 0 if there is none."""
        response = http.client.HTTPResponse(self, method=method)
        answer = CallerResponse(0, {}, b"", False, False)
        try:
            response.begin()
            answer = CallerResponse(
                response.status, response.headers, b"", False, False
            )
            body = response.read()
            return dataclasses.replace(answer, body=body, complete=True)
        except ConnectionError:
            return dataclasses.replace(answer, was_reset=True)
        except http.client.HTTPException:
            return answer


@dataclasses.dataclass(frozen=True)
class CallerResponse:
    """Response that a caller read.

    Attributes:
        complete: whether the whole body arrived.
        was_reset: whether the connection was reset.
    """

    status: int
    headers: dict
    body: bytes
    complete: bool
    was_reset: bool

    @property
    def problem(self):
        return json.loads(self.body)
