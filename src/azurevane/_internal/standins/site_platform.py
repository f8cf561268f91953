"""Stand-in of the whole platform: store, runners, hosts and advisor."""

from collections.abc import Callable
import dataclasses
import json
from typing import Any
from urllib import parse

from twisted.internet import defer

from azurevane import exceptions
from azurevane._internal.models import host_settings
from azurevane._internal.models import verdict
from azurevane._internal.platform import http_client
from azurevane._internal.standins import site_runner
from azurevane._internal.standins import site_store

Response = site_store.Response

STORE_ADDRESS = host_settings.Address("10.200.1.7", 8344)
HOSTS_ADDRESS = host_settings.Address("10.200.0.82", 8344)


@dataclasses.dataclass(slots=True)
class SiteMachine:
    """A host of the fleet and the runner that lives on it."""

    name: str
    pool: str
    zone: str
    rack: str
    runner: site_runner.SiteRunner | None = None
    state: str = "up"


class SitePlatform:
    """What entry hosts reach over the network, in memory.

    Attributes:
        store_down_for: names of the entry hosts that the store refuses.
        store_silent_for: names of those that it doesn't answer.
        lost_answers: number of coming store writes that are done and not
            answered.
        record: (time, event, runner, task, attempt) of all runners.
        late_orders: task and attempt of orders that runners carried out
            late and didn't answer.
        host_orders: (time, order, host, holder, token) of all hosts.
        most_in_maintenance: most hosts in maintenance at once.
        entry_host_by_address: answers questions of other entry hosts; None
            where the process has ended, so that nothing listens.
    """

    def __init__(
        self, reactor: Any, *, move_s: float = 1.5, latency_s: float = 0.002
    ) -> None:
        self.reactor = reactor
        self.store = site_store.SiteStore(reactor)
        self.runner_by_address: dict[str, site_runner.SiteRunner] = {}
        self.machine_by_name: dict[str, SiteMachine] = {}
        self.plan_by_spec: Callable[[str, int], site_runner.TaskPlan] = (
            lambda task, attempt: site_runner.TaskPlan(0.5)
        )
        self._move_s = move_s
        self.latency_s = latency_s
        self.store_down_for: set[str] = set()
        self.store_silent_for: set[str] = set()
        self.store_down = False
        self.store_silent = False
        self.store_delay_s = 0.0
        self.lost_answers = 0
        self.late_orders: set[tuple[str, int]] = set()
        self.record: list[tuple[float, str, str, str, int]] = []
        self.host_orders: list[tuple[float, str, str, str, int]] = []
        self.standby_pools: set[str] = set()
        self._lives = 0
        self.allocate_address: Callable[[], str] = lambda: (
            f"10.9.0.{self._lives}:8000"
        )
        self.most_in_maintenance = 0
        self.entry_host_by_address: dict[
            str, Callable[[bytes], bytes | None] | None
        ] = {}

    # Building a site.

    def add_machine(
        self, name: str, pool: str, zone: str, rack: str, **options: Any
    ) -> SiteMachine:
        """Add a host, with a runner unless its pool is on standby."""
        machine = SiteMachine(name, pool, zone, rack)
        self.machine_by_name[name] = machine
        if pool not in self.standby_pools:
            self.add_runner(machine, **options)
        return machine

    def add_runner(
        self, machine: SiteMachine, **options: Any
    ) -> site_runner.SiteRunner:
        """Start a new runner on a host and register it."""
        self._lives += 1
        address = self.allocate_address()
        runner = site_runner.SiteRunner(
            self.reactor,
            f"i-{self._lives:04d}",
            service=machine.pool,
            zone=machine.zone,
            address=address,
            rack=machine.rack,
            plan=lambda task, attempt: self.plan_by_spec(task, attempt),
            record=self._note,
            born_ms=1_000_000 + self._lives,
            **options,
        )
        machine.runner = runner
        self.runner_by_address[address] = runner
        self.register(runner)
        return runner

    def restart_runner(
        self, runner: site_runner.SiteRunner
    ) -> site_runner.SiteRunner:
        """End a runner and start its next life under the same id."""
        runner.crash()
        self._lives += 1
        successor = runner.next_life(1_000_000 + self._lives)
        self.runner_by_address[runner.address] = successor
        for machine in self.machine_by_name.values():
            if machine.runner is runner:
                machine.runner = successor
        self.register(successor)
        return successor

    def register(self, runner: site_runner.SiteRunner) -> None:
        """Write a runner's entry."""
        value = json.dumps(runner.entry()).encode()
        self.store.put("servers", runner.id, value)

    def unregister(self, runner: site_runner.SiteRunner) -> None:
        """Remove a runner's entry."""
        self.store.put("servers", runner.id, None)

    def _note(self, event: str, runner: str, task: str, attempt: int) -> None:
        self.record.append(
            (self.reactor.seconds(), event, runner, task, attempt)
        )

    # Calls of one entry host.

    def client(self, host_name: str) -> "SiteClient":
        """Return the connection of an entry host."""
        return SiteClient(self, host_name)

    def call(
        self, host_name: str, request: "Request"
    ) -> "Response | defer.Deferred[Response] | None":
        """Carry out a call; None when no answer will come."""
        if request.address == STORE_ADDRESS:
            if self.store_is_silent_to(host_name):
                return None
            if self.store_down or host_name in self.store_down_for:
                return Response(503)
            answer = self.store.handle(
                request.method, request.path, request.query, request.body
            )
            if request.path.endswith("rows-tx") and self.lost_answers:
                self.lost_answers -= 1
                return None
            return answer
        if request.address == HOSTS_ADDRESS:
            return self._call_hosts(request)
        if str(request.address) in self.entry_host_by_address:
            return self._call_entry_host(request)
        return self._call_runner(request)

    def store_is_silent_to(self, host_name: str) -> bool:
        """Whether the store answers nothing to an entry host."""
        return self.store_silent or host_name in self.store_silent_for

    def refuses(self, address: host_settings.Address) -> bool:
        """Whether nothing listens at an entry host's address."""
        return self.entry_host_by_address.get(str(address), ...) is None

    def _call_entry_host(self, request: "Request") -> Response | None:
        answer = self.entry_host_by_address[str(request.address)]
        assert answer is not None, "nothing listens"
        body = answer(json.dumps(request.body).encode())
        return None if body is None else Response(200, json.loads(body))

    def _call_runner(
        self, request: "Request"
    ) -> "Response | defer.Deferred[Response] | None":
        runner = self.runner_by_address.get(str(request.address))
        if runner is None or not runner.reachable:
            return None
        if request.headers.get("X-Target-Instance") != runner.id:
            return Response(421)
        is_order = not request.path.endswith("hold")
        if is_order and runner.delay_orders_s:
            late = request.body["task"], request.body["attempt"]
            self.late_orders.add(late)
            self.reactor.callLater(
                runner.delay_orders_s,
                runner.handle,
                request.path,
                request.body,
            )
            return None
        answer = runner.handle(request.path, request.body)
        if is_order and runner.lose_answers:
            runner.lose_answers -= 1
            return None
        if not isinstance(answer, defer.Deferred):
            return answer
        # An answer that was held back is lost with the runner's link.
        sent: defer.Deferred[Response] = defer.Deferred()
        answer.addCallback(
            lambda response: runner.reachable and sent.callback(response)
        )
        return sent

    # Hosts.

    def _call_hosts(self, request: "Request") -> Response:
        if request.path == "/azurevane/machines":
            return Response(
                200,
                {
                    "machines": [
                        _machine_entry(machine)
                        for machine in self.machine_by_name.values()
                    ],
                    "nextToken": None,
                },
            )
        machine = self.machine_by_name.get(request.body["machine"])
        if machine is None:
            return Response(400)
        self.host_orders.append(
            (
                self.reactor.seconds(),
                request.path.rsplit("-", 1)[1],
                machine.name,
                request.headers["X-Lease-Holder"],
                int(request.headers["X-Fencing-Token"]),
            )
        )
        if machine.state != "up":
            return Response(409, {"reason": "busy"})
        if request.path.endswith("move"):
            machine.pool = request.body["pool"]
            self._rebuild(machine, "moving")
        else:
            self._rebuild(machine, "upkeep")
            down = sum(
                other.state == "upkeep"
                for other in self.machine_by_name.values()
            )
            self.most_in_maintenance = max(self.most_in_maintenance, down)
        return Response(200, {})

    def _rebuild(self, machine: SiteMachine, state: str) -> None:
        machine.state = state
        if machine.runner is not None:
            machine.runner.crash()
            self.unregister(machine.runner)
            machine.runner = None
        self.reactor.callLater(self._move_s, self._return, machine)

    def _return(self, machine: SiteMachine) -> None:
        machine.state = "up"
        if machine.pool not in self.standby_pools:
            self.add_runner(machine)


def _machine_entry(machine: SiteMachine) -> dict[str, Any]:
    runner = machine.runner
    return {
        "machine": machine.name,
        "pool": machine.pool,
        "state": machine.state,
        "zone": machine.zone,
        "labels": ["a", machine.rack],
        "capacity": {"cpu": 32000, "memMb": 131072, "gpu": 0},
        "id": runner.id if runner is not None else None,
    }


def _failure(request: "Request", error: Exception) -> exceptions.CallFailed:
    refused = isinstance(error, ConnectionRefusedError)
    return exceptions.CallFailed(
        f"{request.method} {request.path} at {request.address}: {error!r}",
        verdict.Verdict.NOT_RUN if refused else verdict.Verdict.MAY_HAVE_RUN,
        refused=refused,
        timed_out=not refused,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A call as it arrives."""

    address: host_settings.Address
    method: str
    path: str
    query: dict[str, str]
    body: Any
    headers: dict[str, str]


class SiteClient:
    """Takes the place of ``http_client.HttpClient`` without a network."""

    def __init__(self, platform: SitePlatform, host_name: str) -> None:
        self._platform = platform
        self._host_name = host_name
        # An entry host that was cut off or killed.
        self.silent = False

    def _lost(self, address: host_settings.Address) -> bool:
        """Whether an answer from an address doesn't arrive now."""
        platform = self._platform
        if address == STORE_ADDRESS:
            return self.silent or platform.store_is_silent_to(self._host_name)
        return self.silent

    async def call(
        self,
        address: host_settings.Address,
        method: bytes,
        path: str,
        body: Any = None,
        *,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> http_client.Response:
        """Carry out a call after the network's delay."""
        reactor = self._platform.reactor
        name, _, query = path.partition("?")
        request = Request(
            address,
            method.decode(),
            name,
            dict(parse.parse_qsl(query, keep_blank_values=True)),
            json.loads(json.dumps(body)),
            headers or {},
        )
        answered: defer.Deferred[Response] = defer.Deferred()

        def arrive() -> None:
            if self.silent:
                return
            if self._platform.refuses(address):
                answered.errback(ConnectionRefusedError())
                return
            answer = self._platform.call(self._host_name, request)
            if answer is None:
                return
            delay_s = self._platform.latency_s
            if address == STORE_ADDRESS:
                delay_s += self._platform.store_delay_s
            defer.maybeDeferred(lambda: answer).addCallback(
                lambda response: reactor.callLater(delay_s, deliver, response)
            )

        def deliver(response: Response) -> None:
            if self._lost(address) or answered.called:
                return
            answered.callback(response)

        reactor.callLater(self._platform.latency_s, arrive)
        answered.addTimeout(timeout_s, reactor)
        try:
            response = await answered
        except (
            ConnectionRefusedError,
            defer.TimeoutError,
            defer.CancelledError,
        ) as error:
            raise _failure(request, error) from error
        data = b"" if response.body is None else json.dumps(response.body)
        if isinstance(data, str):
            data = data.encode()
        return http_client.Response(response.status, data)
