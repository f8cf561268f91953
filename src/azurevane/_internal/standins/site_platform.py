"""Stand-in for the whole platform: store, runners and hosts API."""

from collections.abc import Callable
import dataclasses
import json
from typing import Any
from urllib import parse

from twisted.internet import defer
from twisted.internet import error as twisted_error
from twisted.internet import task as twisted_task

from azurevane import exceptions
from azurevane._internal.models import host_settings
from azurevane._internal.models import verdict
from azurevane._internal.platform import http_client
from azurevane._internal.platform import http_connections
from azurevane._internal.standins import advisor as advisor_module
from azurevane._internal.standins import serial_peer
from azurevane._internal.standins import site_runner
from azurevane._internal.standins import site_store

Response = site_store.Response

STORE_ADDRESS = host_settings.Address("10.200.1.7", 8344)
HOSTS_ADDRESS = host_settings.Address("10.200.0.82", 8344)
ADVISOR_ADDRESS = host_settings.Address("10.200.1.9", 8344)


@dataclasses.dataclass(slots=True)
class FleetHost:
    """A host of the fleet and the runner on it."""

    name: str
    pool: str
    zone: str
    rack: str
    runner: site_runner.SiteRunner | None = None
    state: str = "up"
    maintained_waves: set[int] = dataclasses.field(default_factory=set)


class SitePlatform:
    """In-memory services that entry hosts reach over the network.

    Attributes:
        store_down_for: names of entry hosts to which the store answers 503.
        store_silent_for: names of entry hosts that the store doesn't
            answer.
        store_answers_to_lose: number of next store writes that are applied
            but not answered.
        store_answers_lost_for: names of entry hosts whose store writes are
            applied but not answered.
        record: (time, event, runner, task, attempt) of all runners.
        submission_delay_s: how late writes to the table of jobs are carried
            out, without an answer.
        hosts_silent: whether calls about hosts are neither carried out nor
            answered.
        host_command_delay_s: how late commands for hosts are carried out
            and then answered.
        lease_expiries: (time, runner) of the expired leases.
        late_commands: task and attempt of commands that runners executed
            late and without an answer.
        host_commands: (time, command, host, holder, token) of all hosts.
        crash_by_task: what happens to a runner that a task crashes.
        advisor: answers calls for advice; without one no start needs it.
        store_transaction_s: time that a part of the store works on each
            transaction, one after the other; 0 if they are carried out at
            once.
        store_peer_by_part: queues the transactions of each part meanwhile.
        hosts_peer: queues the calls about hosts, each of which then takes
            ``hosts_call_s``; None if they are carried out at once.
        most_in_maintenance: highest number of hosts in maintenance at once.
        entry_host_by_address: answers leadership queries of other entry
            hosts; None if the process has ended, so that connections are
            refused.
    """

    def __init__(
        self, reactor: Any, *, move_s: float = 1.5, latency_s: float = 0.002
    ) -> None:
        self.reactor = reactor
        self.store = site_store.SiteStore(reactor)
        self.runner_by_address: dict[str, site_runner.SiteRunner] = {}
        self.host_by_name: dict[str, FleetHost] = {}
        self.plan_task: Callable[[str, int], site_runner.TaskPlan] = (
            lambda task, attempt: site_runner.TaskPlan(0.5)
        )
        self._move_s = move_s
        self.latency_s = latency_s
        self.store_down_for: set[str] = set()
        self.store_silent_for: set[str] = set()
        self.store_down = False
        self.store_silent = False
        self.store_delay_s = 0.0
        self.hosts_delay_s = 0.0
        self.hosts_silent = False
        self.host_command_delay_s = 0.0
        self.host_commands_refused = False
        self.submission_delay_s = 0.0
        self.store_answers_to_lose = 0
        self.store_answers_lost_for: set[str] = set()
        self.late_commands: set[tuple[str, int]] = set()
        self.record: list[tuple[float, str, str, str, int]] = []
        self.lease_expiries: list[tuple[float, str]] = []
        self.host_commands: list[tuple[float, str, str, str, int]] = []
        self.standby_pools: set[str] = set()
        self.crash_by_task: Callable[[site_runner.SiteRunner], None] = (
            lambda runner: self.crash_host(runner, down_s=3.0)
        )
        self._incarnations = 0
        self.allocate_address: Callable[[], str] = lambda: (
            f"10.9.0.{self._incarnations}:8000"
        )
        self.most_in_maintenance = 0
        self.advisor: advisor_module.Advisor | None = None
        self.store_transaction_s = 0.0
        self.store_peer_by_part: dict[str, serial_peer.SerialPeer] = {}
        self.hosts_peer: serial_peer.SerialPeer | None = None
        self.hosts_call_s = 0.0
        self.entry_host_by_address: dict[
            str, Callable[[bytes], bytes | None] | None
        ] = {}

    # Setup of hosts and runners.

    def add_host(
        self, name: str, pool: str, zone: str, rack: str, **options: Any
    ) -> FleetHost:
        """Add a host, with a runner unless its pool is on standby."""
        host = FleetHost(name, pool, zone, rack)
        self.host_by_name[name] = host
        if pool not in self.standby_pools:
            self.add_runner(host, **options)
        return host

    def add_runner(
        self, host: FleetHost, *, address: str = "", **options: Any
    ) -> site_runner.SiteRunner:
        """Start a new runner on a host and register it."""
        self._incarnations += 1
        address = address or self.allocate_address()
        runner = site_runner.SiteRunner(
            self.reactor,
            f"i-{self._incarnations:04d}",
            service=host.pool,
            zone=host.zone,
            address=address,
            rack=host.rack,
            plan=lambda task, attempt: self.plan_task(task, attempt),
            record=self._record_event,
            crash_by_task=self.crash_by_task,
            started_at_ms=1_000_000 + self._incarnations,
            accepts_ticket=self._accepts_ticket,
            **options,
        )
        host.runner = runner
        self.runner_by_address[address] = runner
        self.register(runner)
        return runner

    def _accepts_ticket(self, task: str, runner: str, ticket: str) -> bool:
        return self.advisor is None or self.advisor.accepts(
            task, runner, ticket
        )

    def restart_runner(
        self,
        runner: site_runner.SiteRunner,
        *,
        restart_s: float = 0.0,
        entry_lag_s: float = 0.0,
        clock_set_back_s: float = 0.0,
    ) -> site_runner.SiteRunner:
        """Crash a runner and start its next incarnation under the same id.

        Args:
            restart_s: time between the crash and the new start.
            entry_lag_s: time between the new start and the store's new
                entry. It is about a heartbeat, and more while the runner
                doesn't reach the store.
            clock_set_back_s: by how much its host's time of day at the new
                start is before that of the last one.
        """
        runner.crash()
        self._incarnations += 1
        started_at_ms = 1_000_000 + self._incarnations
        if clock_set_back_s:
            started_at_ms = runner.started_at_ms - round(
                clock_set_back_s * 1000
            )

        def start() -> site_runner.SiteRunner:
            successor = runner.next_incarnation(started_at_ms)
            self.runner_by_address[runner.address] = successor
            for host in self.host_by_name.values():
                if host.runner is runner:
                    host.runner = successor
            if entry_lag_s:
                self.reactor.callLater(entry_lag_s, self.register, successor)
            else:
                self.register(successor)
            return successor

        if not restart_s:
            return start()
        self.reactor.callLater(restart_s, start)
        return runner

    def crash_host(
        self,
        runner: site_runner.SiteRunner,
        *,
        down_s: float,
        silent: bool = False,
        same_id: bool = False,
    ) -> None:
        """Crash a runner; its host starts another one at the same address.

        Args:
            silent: whether the host has no power, so that calls get no
                answer instead of a reset.
            same_id: whether the next runner has the same id.
        """
        runner.resets_connections = not silent
        if same_id:
            self.restart_runner(runner, restart_s=down_s)
            return
        runner.crash()
        host = next(
            host
            for host in self.host_by_name.values()
            if host.runner is runner
        )
        host.state, host.runner = "down", None
        self.reactor.callLater(down_s, self._power_up, host, runner)

    def _power_up(
        self, host: FleetHost, previous: site_runner.SiteRunner
    ) -> None:
        host.state = "up"
        self.unregister(previous)
        self.add_runner(host, address=previous.address)

    def register(self, runner: site_runner.SiteRunner) -> None:
        """Write a runner's entry to the store."""
        value = json.dumps(runner.entry()).encode()
        self.store.put("servers", runner.id, value)

    def unregister(self, runner: site_runner.SiteRunner) -> None:
        """Delete a runner's entry from the store."""
        self.store.put("servers", runner.id, None)

    def _record_event(
        self, event: str, runner: str, task: str, attempt: int
    ) -> None:
        if event == site_runner.LEASE_EXPIRED:
            self.lease_expiries.append((self.reactor.seconds(), runner))
            return
        self.record.append(
            (self.reactor.seconds(), event, runner, task, attempt)
        )

    # Calls of entry hosts.

    def client(self, entry_host: str) -> "SiteClient":
        """Return an entry host's client of the platform."""
        return SiteClient(self, entry_host)

    def handle_request(
        self, entry_host: str, request: "PlatformRequest"
    ) -> "Response | defer.Deferred[Response] | None":
        """Execute a call; return None if it gets no answer."""
        if request.address == STORE_ADDRESS:
            return self._handle_store_call(entry_host, request)
        if request.address == HOSTS_ADDRESS:
            return self._handle_hosts_call(request)
        if request.address == ADVISOR_ADDRESS and self.advisor is not None:
            return self.advisor.handle_request(entry_host, request.body)
        if str(request.address) in self.entry_host_by_address:
            return self._handle_entry_host_call(request)
        return self._handle_runner_call(entry_host, request)

    def _handle_store_call(
        self, entry_host: str, request: "PlatformRequest"
    ) -> "Response | defer.Deferred[Response] | None":
        if self.store_is_silent_to(entry_host):
            return None
        if self.store_down or entry_host in self.store_down_for:
            return Response(503)
        if self.submission_delay_s and _writes_jobs(request):
            self.reactor.callLater(
                self.submission_delay_s,
                self.store.handle_request,
                request.method,
                request.path,
                request.query,
                request.body,
            )
            return None
        if not request.path.endswith("rows-tx"):
            return self.store.handle_request(
                request.method, request.path, request.query, request.body
            )
        answer = self._execute_transaction(request)
        if entry_host in self.store_answers_lost_for:
            return None
        if self.store_answers_to_lose:
            self.store_answers_to_lose -= 1
            return None
        return answer

    def _execute_transaction(
        self, request: "PlatformRequest"
    ) -> "Response | defer.Deferred[Response]":
        def execute() -> "Response | defer.Deferred[Response]":
            return self.store.handle_request(
                request.method, request.path, request.query, request.body
            )

        if not self.store_transaction_s:
            return execute()
        part = request.body["setKeys"][0]["part"]
        if part not in self.store_peer_by_part:
            self.store_peer_by_part[part] = serial_peer.SerialPeer(
                self.reactor, max_waiting=int(1 / self.store_transaction_s)
            )
        return self.store_peer_by_part[part].handle(
            self.store_transaction_s, execute
        )

    def store_is_silent_to(self, entry_host: str) -> bool:
        """Whether the store doesn't answer an entry host."""
        return self.store_silent or entry_host in self.store_silent_for

    def refuses_connections(self, address: host_settings.Address) -> bool:
        """Whether connections to an entry host's address are refused."""
        return self.entry_host_by_address.get(str(address), ...) is None

    def _handle_entry_host_call(
        self, request: "PlatformRequest"
    ) -> Response | None:
        answer = self.entry_host_by_address[str(request.address)]
        assert answer is not None, "no process listens at this address"
        body = answer(json.dumps(request.body).encode())
        return None if body is None else Response(200, json.loads(body))

    def _queue_runner_call(
        self, runner: site_runner.SiteRunner, request: "PlatformRequest"
    ) -> "Response | defer.Deferred[Response]":
        """Let a runner carry out a call once those before it are done."""

        def execute() -> "Response | defer.Deferred[Response]":
            answer = runner.handle_request(request.path, request.body)
            if isinstance(answer, defer.Deferred):
                return self._forward_long_poll(runner, answer)
            return answer

        return runner.peer.handle(runner.call_s, execute)

    def _handle_runner_call(
        self, entry_host: str, request: "PlatformRequest"
    ) -> "Response | defer.Deferred[Response] | None":
        runner = self.runner_by_address.get(str(request.address))
        if runner is not None and runner.crashed and runner.resets_connections:
            return defer.fail(ConnectionRefusedError())
        if runner is None or not runner.is_reachable_from(entry_host):
            return None
        if request.headers.get("X-Target-Instance") != runner.id:
            return Response(421)
        if runner.peer is not None:
            return self._queue_runner_call(runner, request)
        return self._execute_runner_call(runner, request)

    def _execute_runner_call(
        self, runner: site_runner.SiteRunner, request: "PlatformRequest"
    ) -> "Response | defer.Deferred[Response] | None":
        is_command = not request.path.endswith("hold")
        if is_command and runner.command_delay_s:
            late = request.body["task"], request.body["attempt"]
            self.late_commands.add(late)
            self.reactor.callLater(
                runner.command_delay_s,
                runner.handle_request,
                request.path,
                request.body,
            )
            return None
        answer = runner.handle_request(request.path, request.body)
        if runner.responses_until_reset is not None:
            if not runner.responses_until_reset:
                return defer.fail(twisted_error.ConnectionLost())
            runner.responses_until_reset -= 1
        if is_command and runner.answers_to_lose:
            runner.answers_to_lose -= 1
            return None
        if is_command and runner.response_delay_s:
            late_answer: defer.Deferred[Response] = defer.Deferred()
            self.reactor.callLater(
                runner.response_delay_s, late_answer.callback, answer
            )
            return late_answer
        if isinstance(answer, defer.Deferred):
            return self._forward_long_poll(runner, answer)
        return answer

    @staticmethod
    def _forward_long_poll(
        runner: site_runner.SiteRunner, answer: "defer.Deferred[Response]"
    ) -> "defer.Deferred[Response]":
        forwarded: defer.Deferred[Response] = defer.Deferred()

        def forward(response: Response) -> None:
            # A long poll's answer is lost if the runner became unreachable.
            if not runner.reachable:
                return
            if runner.responses_until_reset == 0:
                forwarded.errback(twisted_error.ConnectionLost())
                return
            forwarded.callback(response)

        answer.addCallbacks(forward, forwarded.errback)
        return forwarded

    # Hosts API.

    def _handle_hosts_call(
        self, request: "PlatformRequest"
    ) -> "Response | defer.Deferred[Response] | None":
        if self.hosts_silent:
            return None
        if self.hosts_peer is not None:
            return self.hosts_peer.handle(
                self.hosts_call_s, lambda: self._execute_hosts_call(request)
            )
        return self._execute_hosts_call(request)

    def _execute_hosts_call(
        self, request: "PlatformRequest"
    ) -> "Response | defer.Deferred[Response]":
        if request.path == "/azurevane/machines":
            return Response(
                200,
                {
                    "machines": [
                        _host_entry(host)
                        for host in self.host_by_name.values()
                    ],
                    "nextToken": None,
                },
            )
        host = self.host_by_name.get(request.body["machine"])
        if host is None:
            return Response(400)
        self.host_commands.append(
            (
                self.reactor.seconds(),
                request.path.rsplit("-", 1)[1],
                host.name,
                request.headers["X-Lease-Holder"],
                int(request.headers["X-Fencing-Token"]),
            )
        )
        if self.host_commands_refused:
            return Response(503)
        if self.host_command_delay_s:
            return twisted_task.deferLater(
                self.reactor,
                self.host_command_delay_s,
                self._carry_out_command,
                host,
                request,
            )
        return self._carry_out_command(host, request)

    def _carry_out_command(
        self, host: FleetHost, request: "PlatformRequest"
    ) -> Response:
        is_move = request.path.endswith("move")
        if (
            request.body["pool"] == host.pool
            if is_move
            else request.body["wave"] in host.maintained_waves
        ):
            # Already done; nothing is terminated.
            return Response(200, {})
        if host.state != "up":
            return Response(409, {"reason": "busy"})
        if is_move:
            host.pool = request.body["pool"]
            self._take_host_down(host, "moving")
        else:
            host.maintained_waves.add(request.body["wave"])
            self._take_host_down(host, "upkeep")
            down = sum(
                other.state == "upkeep" for other in self.host_by_name.values()
            )
            self.most_in_maintenance = max(self.most_in_maintenance, down)
        return Response(200, {})

    def _take_host_down(self, host: FleetHost, state: str) -> None:
        host.state = state
        if host.runner is not None:
            host.runner.crash()
            self.unregister(host.runner)
            host.runner = None
        self.reactor.callLater(self._move_s, self._bring_host_up, host)

    def _bring_host_up(self, host: FleetHost) -> None:
        host.state = "up"
        if host.pool not in self.standby_pools:
            self.add_runner(host)


def _writes_jobs(request: "PlatformRequest") -> bool:
    if not request.path.endswith("rows-tx"):
        return False
    rows = request.body["setKeys"]
    return any(row["table"] == "azurevane-jobs" for row in rows)


def _host_entry(host: FleetHost) -> dict[str, Any]:
    runner = host.runner
    return {
        "machine": host.name,
        "pool": host.pool,
        "state": host.state,
        "zone": host.zone,
        "labels": ["a", host.rack],
        "capacity": {"cpu": 32000, "memMb": 131072, "gpu": 0},
        "id": runner.id if runner is not None else None,
    }


def _call_failure(
    request: "PlatformRequest", error: Exception
) -> exceptions.CallFailed:
    refused = isinstance(error, ConnectionRefusedError)
    not_run = refused or isinstance(error, http_connections.SentTooLate)
    return exceptions.CallFailed(
        f"{request.method} {request.path} at {request.address}: {error!r}",
        verdict.Verdict.NOT_RUN if not_run else verdict.Verdict.MAY_HAVE_RUN,
        refused=refused,
        timed_out=not not_run
        and not isinstance(error, twisted_error.ConnectionLost),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformRequest:
    """A decoded HTTP request."""

    address: host_settings.Address
    method: str
    path: str
    query: dict[str, str]
    body: Any
    headers: dict[str, str]


@dataclasses.dataclass(eq=False, slots=True)
class _Connection:
    """A connection of an entry host; a silent one loses all that is sent.

    Attributes:
        advice: response of the advisor that is on its way.
    """

    silent: bool = False
    advice: "defer.Deferred[Response] | None" = None

    def record_answer(
        self, address: host_settings.Address, answer: Any
    ) -> None:
        """Note a response of the advisor, which a caller may not wait for."""
        if address == ADVISOR_ADDRESS and isinstance(answer, defer.Deferred):
            self.advice = answer


class SiteClient:
    """Replaces ``http_client.HttpClient`` without using the network.

    Args:
        process_reactor: reactor of the entry host's process, if it isn't the
            platform's; responses wait for it.
    """

    def __init__(
        self,
        platform: SitePlatform,
        entry_host: str,
        process_reactor: Any = None,
    ) -> None:
        self._platform = platform
        self._reactor = process_reactor or platform.reactor
        self._entry_host = entry_host
        # Set when the entry host is isolated or killed.
        self.silent = False
        # Connections to the store.
        self._idle_connections: list[_Connection] = []
        self._connections_in_use: set[_Connection] = set()
        self.hosts_connect_delay_s = 0.0

    def silence_store_connections(self, *, idle: bool = True) -> None:
        """Let open connections to the store go silent for good.

        Args:
            idle: whether those without a call in progress do, too.
        """
        for connection in self._connections_in_use:
            connection.silent = True
        for connection in self._idle_connections if idle else ():
            connection.silent = True

    def _connect_to_store(self, new_connection: bool) -> "_Connection":
        """Return the connection that a call to the store uses."""
        connection = _Connection()
        if self._idle_connections and not new_connection:
            connection = self._idle_connections.pop()
        self._connections_in_use.add(connection)
        return connection

    def _keep_store_connection(self, connection: "_Connection") -> None:
        """Keep a connection on which a response arrived."""
        self._connections_in_use.discard(connection)
        if (
            len(self._idle_connections)
            < http_connections.MAX_IDLE_CONNECTIONS_PER_PEER
        ):
            self._idle_connections.append(connection)

    def _close_store_connections(self, connection: "_Connection") -> None:
        """Close a connection without a response, and all that are idle."""
        self._connections_in_use.discard(connection)
        self._idle_connections.clear()

    def _answer_is_lost(self, address: host_settings.Address) -> bool:
        """Whether an answer from an address is lost now."""
        platform = self._platform
        if address == STORE_ADDRESS:
            return self.silent or platform.store_is_silent_to(self._entry_host)
        return self.silent

    def _response_delay_s(self, address: host_settings.Address) -> float:
        platform = self._platform
        delay_s = platform.latency_s
        if address == STORE_ADDRESS:
            delay_s += platform.store_delay_s
        elif address == HOSTS_ADDRESS:
            delay_s += platform.hosts_delay_s
        return delay_s

    def _execute(
        self,
        request: PlatformRequest,
        send_before: float | None,
        response_wait: "defer.Deferred[Response]",
        connection: "_Connection",
    ) -> None:
        reactor = self._reactor

        def fail(reason: Any) -> None:
            reactor.callLater(0, deliver_failure, reason)

        def deliver_failure(reason: Any) -> None:
            if not response_wait.called:
                response_wait.errback(reason)

        def deliver(response: Response) -> None:
            lost = self._answer_is_lost(request.address) or connection.silent
            if not lost and not response_wait.called:
                response_wait.callback(response)

        if self.silent or connection.silent:
            return
        if send_before is not None and reactor.seconds() >= send_before:
            fail(http_connections.SentTooLate())
            return
        if self._platform.refuses_connections(request.address):
            fail(ConnectionRefusedError())
            return
        answer = self._platform.handle_request(self._entry_host, request)
        if answer is None:
            return
        connection.record_answer(request.address, answer)
        delay_s = self._response_delay_s(request.address)
        defer.maybeDeferred(lambda: answer).addCallbacks(
            lambda response: reactor.callLater(delay_s, deliver, response),
            fail,
        )

    async def call(
        self,
        address: host_settings.Address,
        method: bytes,
        path: str,
        body: Any = None,
        *,
        timeout_s: float,
        headers: dict[str, str] | None = None,
        max_parallel: int = 0,
        send_before: float | None = None,
        new_connection: bool = False,
    ) -> http_client.Response:
        """Execute a call after the network latency.

        Raises:
            exceptions.CallFailed: the connection was refused or reset, it
                opened too late, or the call timed out.
        """
        reactor = self._reactor
        name, _, query = path.partition("?")
        request = PlatformRequest(
            address,
            method.decode(),
            name,
            dict(parse.parse_qsl(query, keep_blank_values=True)),
            json.loads(json.dumps(body)),
            headers or {},
        )
        response_wait: defer.Deferred[Response] = defer.Deferred()

        delay_s = self._platform.latency_s
        # What has been sent arrives, whatever becomes of the process; a
        # connection that isn't open yet waits for it.
        sender = self._platform.reactor
        if address == HOSTS_ADDRESS and self.hosts_connect_delay_s:
            delay_s += self.hosts_connect_delay_s
            sender = reactor
        connection = (
            self._connect_to_store(new_connection)
            if address == STORE_ADDRESS
            else _Connection()
        )
        sender.callLater(
            delay_s,
            self._execute,
            request,
            send_before,
            response_wait,
            connection,
        )
        response_wait.addTimeout(timeout_s, reactor)
        try:
            response = await response_wait
        except (
            ConnectionRefusedError,
            twisted_error.ConnectionLost,
            http_connections.SentTooLate,
            defer.TimeoutError,
            defer.CancelledError,
        ) as error:
            if address == STORE_ADDRESS:
                self._close_store_connections(connection)
            if connection.advice is not None:
                connection.advice.cancel()
            raise _call_failure(request, error) from error
        if address == STORE_ADDRESS:
            self._keep_store_connection(connection)
        data = b"" if response.body is None else json.dumps(response.body)
        if isinstance(data, str):
            data = data.encode()
        return http_client.Response(response.status, data)
