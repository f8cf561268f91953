"""Six entry hosts with real state keepers and change code, virtual time."""

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

BOUND_S = 3.0


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
    slow_s: float = 0.0
    late_s: float = 0.0
    lose_answers: float = 0.0
    lose_written: bool = False


class Answer:
    phrase = b""

    def __init__(self, code, body):
        self.code = code
        self._body = body

    def deliverBody(self, protocol):
        protocol.dataReceived(self._body)
        protocol.connectionLost(failure.Failure(client.ResponseDone()))


class StoreAgent:
    """Carries one host's calls to the platform stand-in."""

    def __init__(self, site, host):
        self.site = site
        self.host = host

    def request(self, method, uri, headers, producer):
        body = None
        if producer is not None:
            body = msgspec.json.decode(producer._inputFile.read())
        answered = defer.Deferred()
        self.site.clock.callLater(
            self.site.chance.uniform(0.001, 0.004) + self.site.store.slow_s,
            self.effect,
            method.decode(),
            uri.decode(),
            headers,
            body,
            answered,
        )
        return answered

    def effect(self, method, uri, headers, body, answered):
        site = self.site
        if site.store.down:
            site.clock.callLater(0.001, self.deliver, answered, 503, b"{}")
            return
        path, _, query = uri.removeprefix("http://platform").partition("?")
        args = dict(urllib.parse.parse_qsl(query))
        status, answer = site.platform.answer(method, path, args, body)
        if path == "/table/transact" and status == 200:
            site.accepted()
        tag = headers.getRawHeaders("If-None-Match", [None])[0]
        if tag is not None and tag == f'"{answer["version"]}"':
            status, answer = 304, None
        site.answered(method, body, answer)
        if site.chance.random() < site.store.lose_answers or (
            site.store.lose_written and method == "POST"
        ):
            return
        site.clock.callLater(
            site.chance.uniform(0.001, 0.004) + site.store.late_s,
            self.deliver,
            answered,
            status,
            b"" if answer is None else msgspec.json.encode(answer),
        )

    def deliver(self, answered, status, body):
        self.host.run(lambda: self.fire(answered, Answer(status, body)))

    def fire(self, answered, answer):
        if not answered.called:
            answered.callback(answer)


class Host:
    """One process start of an entry host; stands in for its reactor."""

    def __init__(self, site, name, incarnation):
        self.site = site
        self.alive = True
        self.paused = False
        self.traffic = connections.Traffic()
        self.pause_after_probe = False
        self.timers, self.arrived = collections.deque(), collections.deque()
        self.last_version = 0
        self.hello = messages.Hello(name, incarnation, "az-a")
        self.keeper = state_keeper.StateKeeper(
            name,
            incarnation,
            [other for other in site.names if other != name],
            self.seconds(),
        )
        calls = transport.JsonTransport(
            self,
            "http://platform",
            2.0,
            agent=StoreAgent(site, self),
            breaker=breaker.CircuitBreaker(site.chance),
        )
        self.store = state_store.StateStore(table.TableClient(calls))
        self.follower = fleet_follower.FleetFollower(
            self,
            self.keeper,
            self.store,
            hosts.HostList(calls),
            self,
            lambda state: site.state_changed(),
            site.chance,
        )
        self.follower.start()

    def seconds(self):
        return self.site.clock.seconds()

    def callLater(self, delay, call, *args, **kwargs):
        return self.site.clock.callLater(
            delay, self.run, lambda: call(*args, **kwargs), self.timers
        )

    def run(self, call, backlog=None):
        if self.paused:
            (self.arrived if backlog is None else backlog).append(call)
        elif self.alive:
            call()

    def send(self, peer, message):
        if isinstance(message, messages.Probe) and self.pause_after_probe:
            self.site.clock.callLater(0, self.site.pause, self.hello.host)
            self.pause_after_probe = False
        if self.alive and not self.site.drops(peer, message):
            self.site.carry(self, peer, codec.encode_message(message))

    def receive(self, sender, data):
        try:
            self.follower.handle_message(sender, codec.decode_message(data))
        except exceptions.MessageError as error:
            raise AssertionError(f"own message refused: {error}") from error

    def resume(self):
        """Run what has waited: as in a reactor, timers come first."""
        self.paused = False
        self.site.check_host(self)
        for backlog in (self.timers, self.arrived):
            while backlog and not self.paused:
                self.run(backlog.popleft())
                self.site.check_host(self)


class VirtualFleet:
    """The site, its network and store, and the invariants of it."""

    def __init__(self, seed, count=6):
        self.chance = random.Random(seed)
        self.clock = task.Clock()
        self.clock.advance(1000.0)
        self.platform = platform_standin.PlatformResource(self.clock)
        self.store = StoreFaults()
        self.names = [f"entry-{index + 1}" for index in range(count)]
        self.cuts = set()
        self.without_news = set()
        self.loss = self.duplicates = 0.0
        self.delay_s = 0.005
        self.starts = 0
        self.accepted_at = {}
        self.history = {0: ""}
        self.stored = None
        self.on_accepted = lambda: None
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

    def live(self):
        return [host for host in self.host_by_name.values() if host.alive]

    def state_changed(self):
        """Called when a host puts a state in force; for benchmarks."""

    def answered(self, method, body, answer):
        """Called for each call of the platform; for benchmarks."""

    def drops(self, peer, message):
        """Whether a message is news that never reaches its receiver."""
        return peer in self.without_news and isinstance(
            message,
            state_messages.Prepare
            | state_messages.Commit
            | state_messages.StateReply,
        )

    def carry(self, sender, peer, data):
        copies = 1 + (self.chance.random() < self.duplicates)
        for _ in range(copies):
            if self.chance.random() < self.loss:
                continue
            delay = self.chance.uniform(0.0005, self.delay_s)
            self.clock.callLater(delay, self.deliver, sender, peer, data)

    def deliver(self, sender, peer, data):
        host = self.host_by_name.get(peer)
        if host is None or (sender.hello.host, peer) in self.cuts:
            return
        host.run(lambda: host.receive(sender.hello, data))

    def read_state(self):
        rows = self.platform.table.read_prefix("fleet/")
        return state_store.decode_rows([table.Row(*row) for row in rows]).state

    def accepted(self):
        """Note what a write to the table has taken away or given back."""
        before, state = self.stored, self.read_state()
        self.stored = state
        assert state.version not in self.history, "a version was reused"
        self.history[state.version] = state.token
        for kind, old, new in (
            ("key", before and before.team_by_digest, state.team_by_digest),
            ("zone", state.zones_out, before and before.zones_out),
        ):
            for item in set(old or ()) - set(new or ()):
                self.accepted_at[kind, item] = self.clock.seconds()
            for item in set(new or ()) - set(old or ()):
                self.accepted_at.pop((kind, item), None)
        self.on_accepted()

    def admits(self, host, kind, item):
        """Whether a host would admit work of a key, or to a zone."""
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
        for (kind, item), at in self.accepted_at.items():
            late = self.clock.seconds() - at
            assert late <= BOUND_S or not self.admits(host, kind, item), (
                f"{host.hello.host} admits {kind} {item} {late:.2f} s late"
            )

    def check(self):
        holders = collections.Counter()
        now = self.clock.seconds()
        for host in self.live():
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

    def change(self, name, kind, content, base_version=None):
        """Begin a change; its answer is appended to the result."""
        answer = []
        host = self.host_by_name[name]
        running = defer.ensureDeferred(
            host.follower.make_change(kind, base_version, content)
        )

        def failed(reason):
            reason.trap(exceptions.StoreUnavailable)
            return 503, {"token": ""}

        def record(item):
            # Python closes the coroutines of a killed host some time
            # later, which the operator of that host doesn't see.
            if host.alive:
                answer.append(item)

        running.addErrback(failed)
        running.addErrback(lambda reason: (500, reason.getTraceback()))
        running.addCallback(record)
        self.answers.append(answer)
        return answer

    def make(self, name, kind, content, base_version=None):
        answer = self.change(name, kind, content, base_version)
        self.run(15, lambda: answer)
        return answer[0]

    def check_answers(self):
        """Compare what operators were told with the table's history."""
        made = set(self.history.values())
        for status, body in (answer[0] for answer in self.answers if answer):
            if status == 200:
                assert self.history[body["version"]] == body["token"], body
            elif status != 202:
                assert status in (409, 503), (status, body)
                assert not body["token"] or body["token"] not in made, body

    def everywhere(self):
        """Whether all live hosts have what the table has, and are fresh."""
        now = self.clock.seconds()
        return all(
            host.keeper.in_force == self.stored
            and not host.keeper.prepared
            and host.keeper.fresh(now)
            for host in self.live()
        )

    def settle(self, manifest=None):
        """Apply the first manifest and wait until all seats are taken."""
        status, body = self.make(
            self.names[0], "manifest", manifest or site_manifest()
        )
        assert status == 200, body
        seats = min(len(self.names), self.stored.entry_seats)
        self.run(30, lambda: len(self.stored.seats) == seats)
        for team in ("mills", "forge"):
            self.grant(f"{team}-key", team)
        self.run(5, self.everywhere)

    def grant(self, name, team="mills"):
        status, body = self.make(
            self.names[0],
            "key-grant",
            {"digest": digest_of(name), "team": team},
        )
        assert status == 200, body
