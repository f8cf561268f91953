"""A site of entry hosts and runners in virtual time, from a seed."""

import collections
from collections.abc import Callable
import dataclasses
import itertools
import random
from typing import Any

from azurevane._internal.models import effects
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.models import permit_messages
from azurevane._internal.models import request as request_models
from azurevane._internal.tasks import dispatcher as dispatcher_module
from support import virtual_time

ENTRY_HOSTS = 6
PEER_DELAY_S = 0.0005
SAME_ZONE_DELAY_S = 0.0001
OTHER_ZONE_DELAY_S = 0.0005
TICK_S = 0.1
QUEUES = ("quoting", "geometry", "rings", "inserts", "back-office")
TEAMS = (
    ("lagoon", 8.0),
    ("harbour", 6.0),
    ("market", 3.0),
    ("delta", 2.0),
    ("island", 1.0),
    ("creek", 1.0),
)
ZONES = ("az-a", "az-b", "az-c", "az-d")


def build_dieworks_manifest(
    max_run_s: float = 30.0, limit: int = 320, spare: bool = True
):
    """Return Dieworks' manifest: five queues, 8 runners of 8 slots each."""
    return manifest_models.Manifest(
        "dieworks",
        "ng-west",
        ZONES,
        tuple(manifest_models.Team(n, w, limit) for n, w in TEAMS),
        tuple(
            manifest_models.Pool(q, spare=spare and q == "back-office")
            for q in QUEUES
        ),
        tuple(
            manifest_models.Queue(q, q, max_run_s=max_run_s) for q in QUEUES
        ),
        tuple(
            manifest_models.Runner(f"{q}-{n}", q, ZONES[n % 4], "127.0.0.1", 1)
            for q in QUEUES
            for n in range(8)
        ),
    )


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller and its outcome."""

    submission_id: str
    queue: str
    team: str
    run_s: float
    arrived_at: float
    deadline: float
    host: int
    runner: str = ""
    started_at: float | None = None
    ended_at: float | None = None
    refused_at: float | None = None
    status: int = 0

    @property
    def in_time(self) -> bool:
        return self.ended_at is not None and self.ended_at <= self.deadline


class EntryHost:
    """A dispatcher with its permits, as a node's state machine."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.name = f"entry-{number}"
        self.zone = ZONES[number % 4]

    def start(
        self, permits: Any, dispatcher: Any = dispatcher_module.Dispatcher
    ) -> None:
        self.permits = permits
        self.dispatcher = dispatcher(permits, self.zone)

    @property
    def next_due(self) -> float | None:
        return getattr(self.permits, "next_due", None)

    def tick(self, now: float) -> list[effects.Effect]:
        return self.permits.tick(now)

    def handle(self, now: float, peer: str, message: Any):
        if isinstance(message, permit_messages.Ask) and message.usage:
            self.dispatcher.merge_usage(now, peer, message.usage)
        if getattr(message, "kind", "") == "usage":
            return []
        return self.permits.handle(now, peer, message)


class VirtualSite:
    """Entry hosts, six by default, that send to a manifest's runners."""

    def __init__(
        self,
        manifest: manifest_models.Manifest,
        backend: Any,
        seed: int = 1,
        entry_hosts: int = ENTRY_HOSTS,
    ) -> None:
        self.network = virtual_time.VirtualNetwork(
            seed, self._apply_effect, delay_s=PEER_DELAY_S
        )
        self.rng = random.Random(seed)
        self.manifest = manifest
        self.request_by_id: dict[str, Request] = {}
        self.live_by_id: dict[str, Request] = {}
        self.outstanding: collections.Counter[str] = collections.Counter()
        self.overruns = 0
        self.slowdown_by_runner: dict[str, float] = {}
        self.on_end: Callable[[Request], None] = lambda request: None
        self._ids = itertools.count()
        self._backend = backend
        self._version = 0
        self.hosts = [EntryHost(n) for n in range(entry_hosts)]
        backend.start(self)
        self.nodes = [self.network.add_node(h.name, h) for h in self.hosts]
        self.put_state_in_force()
        for host in self.hosts:
            first = 0.01 + 0.013 * host.number
            self.schedule_every(
                TICK_S, lambda host=host: self._tick(host), first
            )

    @property
    def now(self) -> float:
        return self.network.now

    def schedule_at(
        self, when: float, call: Callable[..., None], *args: Any
    ) -> None:
        self.network.schedule_at(when, lambda: call(*args))

    def schedule_after(
        self, delay: float, call: Callable[..., None], *args: Any
    ):
        self.network.schedule_after(delay, lambda: call(*args))

    def schedule_every(
        self, interval: float, call: Callable[[], None], first=0.0
    ):
        def repeat():
            call()
            self.schedule_after(interval, repeat)

        self.schedule_at(first or interval, repeat)

    def run(self, until: float) -> None:
        self.network.run_until(until)

    def run_at_host(self, host: EntryHost, action: Callable[..., Any]) -> None:
        """Run an action at a host's local time and apply its effects."""
        self.network.run_action(
            self.nodes[host.number], lambda machine, now: action(now)
        )

    def put_state_in_force(self, zones_out=(), draining=()) -> None:
        """Put a fleet state in force at all hosts at the same time."""
        self._version += 1
        state = fleet.FleetState(
            self._version,
            manifest=self.manifest,
            zones_out=tuple(zones_out),
            draining=tuple(draining),
            seats=tuple(
                fleet.Seat(host.number, host.name, host.name, 1)
                for host in self.hosts
            ),
        )
        for host in self.hosts:
            self.run_at_host(
                host,
                lambda now, host=host: (
                    self._backend.configure(now, host, state)
                    + host.dispatcher.configure(now, state)
                ),
            )

    def _tick(self, host: EntryHost) -> None:
        self.run_at_host(host, host.dispatcher.tick)
        self.run_at_host(host, lambda now: self._usage_messages(host, now))

    def _usage_messages(self, host: EntryHost, now: float):
        """Return the Ask messages that send a host's usage to its peers."""
        usage = host.dispatcher.usage(now)
        if not usage:
            return []
        ask = permit_messages.Ask(0, "usage", "", 0, 0.0, 0, usage)
        return [
            effects.Send(peer.name, ask)
            for peer in self.hosts
            if peer is not host
        ]

    def _apply_effect(self, node: Any, effect: effects.Effect) -> None:
        host = node.machine
        if isinstance(effect, request_models.Dispatch):
            self.run_request(host, effect)
        elif isinstance(effect, request_models.Refusal):
            self.record_refusal(effect)
        elif isinstance(effect, effects.PermitsGained):
            self.run_at_host(
                host,
                lambda now: host.dispatcher.handle_permits_gained(
                    now, effect.kind, effect.name
                ),
            )

    def submit_request(
        self, queue: str, team: str, run_s: float, deadline_s: float, host=None
    ) -> Request:
        if host is None:
            host = self.rng.randrange(len(self.hosts))
        request = Request(
            str(next(self._ids)),
            queue,
            team,
            run_s,
            self.now,
            self.now + deadline_s,
            host,
        )
        self.request_by_id[request.submission_id] = request
        self.live_by_id[request.submission_id] = request
        entry = self.hosts[host]
        self.run_at_host(
            entry,
            lambda now: entry.dispatcher.submit(
                now,
                request_models.Submission(
                    request.submission_id,
                    queue,
                    team,
                    now,
                    now + deadline_s,
                    True,
                ),
            ),
        )
        return request

    def run_request(
        self, host: EntryHost, dispatch: request_models.Dispatch
    ) -> None:
        request = self.request_by_id[dispatch.submission_id]
        runner = self.manifest.runner_by_name[dispatch.runner]
        request.runner = runner.name
        request.started_at = self.now
        self.outstanding[runner.name] += 1
        if self.outstanding[runner.name] > runner.slots:
            self.overruns += 1
        delay = (
            SAME_ZONE_DELAY_S
            if runner.zone == host.zone
            else OTHER_ZONE_DELAY_S
        )
        run_s = request.run_s * self.slowdown_by_runner.get(runner.name, 1.0)
        self.schedule_after(
            2 * delay + run_s, self._end_request, host, request
        )

    def _end_request(self, host: EntryHost, request: Request) -> None:
        request.ended_at = self.now
        del self.live_by_id[request.submission_id]
        self.outstanding[request.runner] -= 1
        self.run_at_host(
            host,
            lambda now: host.dispatcher.handle_run_end(
                now,
                request_models.RunResult(
                    request.submission_id,
                    request.runner,
                    now,
                    now,
                    200,
                    None,
                ),
            ),
        )
        self.on_end(request)

    def record_refusal(self, refusal: request_models.Refusal) -> None:
        request = self.request_by_id[refusal.submission_id]
        request.refused_at = self.now
        del self.live_by_id[request.submission_id]
        request.status = refusal.status
        self.on_end(request)
