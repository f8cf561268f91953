"""Six entry hosts with real state keepers in virtual time."""

import collections
import dataclasses
import random
import urllib.parse

import msgspec
from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure
from twisted.web import client

from azurevane import exceptions
from azurevane._internal.daemons import fleet_follower
from azurevane._internal.models import messages
from azurevane._internal.models import state_messages
from azurevane._internal.peers import codec
from azurevane._internal.peers import connections
from azurevane._internal.standins import platform as platform_standin
from azurevane._internal.table_service import breaker
from azurevane._internal.table_service import hosts
from azurevane._internal.table_service import state_store
from azurevane._internal.table_service import table
from azurevane._internal.table_service import transport
from azurevane._internal.tasks import state_keeper

WITHDRAWAL_BOUND_S = 3.0


def site_manifest(seats=6):
    return {
        "site": "test-site",
        "region": "test-region",
        "zones": ["az-a", "az-b", "az-c"],
        "teams": [
            {"name": "mills", "share": 1.0, "limit": 12},
            {"name": "forge", "share": 2.0, "limit": 60},
        ],
        "pools": [{"name": "pool-1"}],
        "queues": [{"name": "quoting", "pool": "pool-1", "teams": ["mills"]}],
        "runners": [
            {
                "name": f"quote-{index}",
                "pool": "pool-1",
                "zone": zone,
                "address": "127.0.0.1",
                "port": 9000 + index,
            }
            for index, zone in enumerate(["az-a", "az-b", "az-c"])
        ],
        "entry_seats": seats,
    }


def digest_of(name):
    return name.encode().hex().ljust(64, "0")[:64]


@dataclasses.dataclass
class StoreFaults:
    down: bool = False
    request_delay_s: float = 0.0
    response_delay_s: float = 0.0
    lost_answer_rate: float = 0.0
    lose_write_answers: bool = False


class FakeResponse:
    phrase = b""

    def __init__(self, code, body):
        self.code = code
        self._body = body

    def deliverBody(self, protocol):
        protocol.dataReceived(self._body)
        protocol.connectionLost(failure.Failure(client.ResponseDone()))


class StoreAgent:
    """Forwards one host's calls to the platform stand-in, with faults."""

    def __init__(self, site, host):
        self.site = site
        self.host = host

    def request(self, method, uri, headers, producer):
        body = None
        if producer is not None:
            body = msgspec.json.decode(producer._inputFile.read())
        response_wait = defer.Deferred()
        self.site.clock.callLater(
            self.site.rng.uniform(0.001, 0.004)
            + self.site.store.request_delay_s,
            self.apply_request,
            method.decode(),
            uri.decode(),
            headers,
            body,
            response_wait,
        )
        return response_wait

    def apply_request(self, method, uri, headers, body, response_wait):
        site = self.site
        if site.store.down:
            site.clock.callLater(
                0.001, self.deliver, response_wait, 503, b"{}"
            )
            return
        path, _, query = uri.removeprefix("http://platform").partition("?")
        args = dict(urllib.parse.parse_qsl(query))
        status, answer = site.platform.answer(method, path, args, body)
        if path == "/table/transact" and status == 200:
            site.record_accepted_write()
        tag = headers.getRawHeaders("If-None-Match", [None])[0]
        if tag is not None and tag == f'"{answer["version"]}"':
            status, answer = 304, None
        site.on_call_answered(method, body, answer)
        if site.rng.random() < site.store.lost_answer_rate or (
            site.store.lose_write_answers and method == "POST"
        ):
            return
        site.clock.callLater(
            site.rng.uniform(0.001, 0.004) + site.store.response_delay_s,
            self.deliver,
            response_wait,
            status,
            b"" if answer is None else msgspec.json.encode(answer),
        )

    def deliver(self, response_wait, status, body):
        self.host.run(
            lambda: self.complete_request(
                response_wait, FakeResponse(status, body)
            )
        )

    def complete_request(self, response_wait, answer):
        if not response_wait.called:
            response_wait.callback(answer)


class Host:
    """One incarnation of an entry host, which serves as its reactor."""

    def __init__(self, site, name, incarnation):
        self.site = site
        self.alive = True
        self.paused = False
        self.traffic = connections.Traffic()
        self.pause_after_probe = False
        self.deferred_timers, self.deferred_messages = (
            collections.deque(),
            collections.deque(),
        )
        self.last_version = 0
        self.hello = messages.Hello(name, incarnation, "az-a")
        self.keeper = state_keeper.StateKeeper(
            name,
            incarnation,
            [other for other in site.names if other != name],
            self.seconds(),
        )
        transport_calls = transport.JsonTransport(
            self,
            "http://platform",
            2.0,
            agent=StoreAgent(site, self),
            breaker=breaker.CircuitBreaker(site.rng),
        )
        self.store = state_store.StateStore(table.TableClient(transport_calls))
        self.follower = fleet_follower.FleetFollower(
            self,
            self.keeper,
            self.store,
            hosts.HostList(transport_calls),
            self,
            lambda state: site.on_state_in_force(),
            site.rng,
        )
        self.follower.start()

    def seconds(self):
        return self.site.clock.seconds()

    def callLater(self, delay, call, *args, **kwargs):
        return self.site.clock.callLater(
            delay,
            self.run,
            lambda: call(*args, **kwargs),
            self.deferred_timers,
        )

    def run(self, call, backlog=None):
        if self.paused:
            (self.deferred_messages if backlog is None else backlog).append(
                call
            )
        elif self.alive:
            call()

    def send(self, peer, message):
        if isinstance(message, messages.Probe) and self.pause_after_probe:
            self.site.clock.callLater(0, self.site.pause, self.hello.host)
            self.pause_after_probe = False
        if self.alive and not self.site.drops(peer, message):
            self.site.transmit(self, peer, codec.encode_message(message))

    def receive(self, sender, data):
        try:
            self.follower.handle_message(sender, codec.decode_message(data))
        except exceptions.MessageError as error:
            raise AssertionError(f"own message refused: {error}") from error

    def resume(self):
        """Run the deferred calls: as in a reactor, timers first."""
        self.paused = False
        self.site.check_host(self)
        for backlog in (self.deferred_timers, self.deferred_messages):
            while backlog and not self.paused:
                self.run(backlog.popleft())
                self.site.check_host(self)


class VirtualFleet:
    """Entry hosts, their network and store, and checks of invariants.

    Attributes:
        hosts_without_updates: hosts that receive no changes of the state.
        withdrawn_at: time at which each key was withdrawn or zone taken
            out, while that holds.
        token_by_version: token of each stored state.
    """

    def __init__(self, seed, count=6):
        self.rng = random.Random(seed)
        self.clock = task.Clock()
        self.clock.advance(1000.0)
        self.platform = platform_standin.PlatformResource(self.clock)
        self.store = StoreFaults()
        self.names = [f"entry-{index + 1}" for index in range(count)]
        self.cut_links = set()
        self.hosts_without_updates = set()
        self.loss_rate = self.duplicate_rate = 0.0
        self.delay_s = 0.005
        self.starts = 0
        self.withdrawn_at = {}
        self.token_by_version = {0: ""}
        self.stored = None
        self.on_write_accepted = lambda: None
        self.answers = []
        self.host_by_name = {}
        for name in self.names:
            self.start(name)

    def start(self, name):
        self.starts += 1
        self.host_by_name[name] = Host(self, name, f"start-{self.starts}")

    def kill(self, name):
        self.host_by_name[name].alive = False

    def pause(self, name):
        self.host_by_name[name].paused = True

    def live_hosts(self):
        return [host for host in self.host_by_name.values() if host.alive]

    def on_state_in_force(self):
        """Called when a host puts a state in force; benchmarks override it."""

    def on_call_answered(self, method, body, answer):
        """Called for each platform call; benchmarks override it."""

    def drops(self, peer, message):
        """Whether a message carries a state update that is dropped."""
        return peer in self.hosts_without_updates and isinstance(
            message,
            state_messages.Prepare
            | state_messages.Commit
            | state_messages.StateReply,
        )

    def transmit(self, sender, peer, data):
        copies = 1 + (self.rng.random() < self.duplicate_rate)
        for _ in range(copies):
            if self.rng.random() < self.loss_rate:
                continue
            delay = self.rng.uniform(0.0005, self.delay_s)
            self.clock.callLater(delay, self.deliver, sender, peer, data)

    def deliver(self, sender, peer, data):
        host = self.host_by_name.get(peer)
        if host is None or (sender.hello.host, peer) in self.cut_links:
            return
        host.run(lambda: host.receive(sender.hello, data))

    def read_state(self):
        rows = self.platform.table.read_prefix("fleet/")
        return state_store.decode_rows([table.Row(*row) for row in rows]).state

    def record_accepted_write(self):
        """Record the keys and zones that a write withdrew or restored."""
        before, state = self.stored, self.read_state()
        self.stored = state
        assert state.version not in self.token_by_version, (
            "a version was reused"
        )
        self.token_by_version[state.version] = state.token
        for kind, old, new in (
            ("key", before and before.team_by_digest, state.team_by_digest),
            ("zone", state.zones_out, before and before.zones_out),
        ):
            for item in set(old or ()) - set(new or ()):
                self.withdrawn_at[kind, item] = self.clock.seconds()
            for item in set(new or ()) - set(old or ()):
                self.withdrawn_at.pop((kind, item), None)
        self.on_write_accepted()

    def admits(self, host, kind, item):
        """Whether a host would admit work with a key, or in a zone."""
        if not host.keeper.fresh(self.clock.seconds()):
            return False
        state = host.keeper.effective
        if kind == "key":
            return item in state.team_by_digest
        return item not in state.zones_out

    def check_host(self, host):
        version = host.keeper.in_force.version
        assert version >= host.last_version, (host.hello, version)
        host.last_version = version
        for (kind, item), at in self.withdrawn_at.items():
            late = self.clock.seconds() - at
            assert late <= WITHDRAWAL_BOUND_S or not self.admits(
                host, kind, item
            ), f"{host.hello.host} admits {kind} {item} {late:.2f} s late"

    def check(self):
        holders = collections.Counter()
        now = self.clock.seconds()
        for host in self.live_hosts():
            if host.paused:
                continue
            self.check_host(host)
            keeper = host.keeper
            if keeper.seat and now >= keeper.base_usable_at:
                holders[keeper.seat.number] += keeper.fresh(now)
        assert all(count <= 1 for count in holders.values()), holders

    def run(self, seconds, until=None):
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            step = min(self.clock.seconds() + 0.05, end)
            while self.clock.calls and self.clock.calls[0].getTime() <= step:
                due = self.clock.calls[0].getTime() - self.clock.seconds()
                self.clock.advance(max(due, 0.0))
            self.clock.advance(max(step - self.clock.seconds(), 0.0))
            self.check()
            if until is not None and until():
                return
        assert until is None, "not reached in time"

    def begin_change(self, name, kind, content, base_version=None):
        """Begin a change; return a list that receives its response."""
        answer = []
        host = self.host_by_name[name]
        running = defer.ensureDeferred(
            host.follower.make_change(kind, base_version, content)
        )

        def failed(reason):
            reason.trap(exceptions.StoreUnavailable)
            return 503, {"token": ""}

        def record(item):
            # Python closes the coroutines of a killed host later; that
            # result doesn't reach the operator of the host.
            if host.alive:
                answer.append(item)

        running.addErrback(failed)
        running.addErrback(lambda reason: (500, reason.getTraceback()))
        running.addCallback(record)
        self.answers.append(answer)
        return answer

    def make_change(self, name, kind, content, base_version=None):
        answer = self.begin_change(name, kind, content, base_version)
        self.run(15, lambda: answer)
        return answer[0]

    def check_answers(self):
        """Compare the responses to operators with the stored versions."""
        made = set(self.token_by_version.values())
        for status, body in (answer[0] for answer in self.answers if answer):
            if status == 200:
                assert (
                    self.token_by_version[body["version"]] == body["token"]
                ), body
            elif status != 202:
                assert status in (409, 503), (status, body)
                assert not body["token"] or body["token"] not in made, body

    def in_force_everywhere(self):
        """Whether all live hosts have the stored state and are fresh."""
        now = self.clock.seconds()
        return all(
            host.keeper.in_force == self.stored
            and not host.keeper.prepared
            and host.keeper.fresh(now)
            for host in self.live_hosts()
        )

    def set_up_site(self, manifest=None):
        """Apply the first manifest and wait until all seats are held."""
        status, body = self.make_change(
            self.names[0], "manifest", manifest or site_manifest()
        )
        assert status == 200, body
        seats = min(len(self.names), self.stored.entry_seats)
        self.run(30, lambda: len(self.stored.seats) == seats)
        for team in ("mills", "forge"):
            self.grant_key(f"{team}-key", team)
        self.run(5, self.in_force_everywhere)

    def grant_key(self, name, team="mills"):
        status, body = self.make_change(
            self.names[0],
            "key-grant",
            {"digest": digest_of(name), "team": team},
        )
        assert status == 200, body
