"""At-most-once claims of one site in virtual time, with faults."""

import collections
import random

from twisted.internet import defer
from twisted.internet import task

from azurevane import exceptions
from azurevane._internal.daemons import entry_claims
from azurevane._internal.models import claim_records
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest
from azurevane._internal.models import verdict
from azurevane._internal.standins import table as table_standin
from azurevane._internal.table_service import claim_journal
from azurevane._internal.table_service import table as table_module
from azurevane._internal.tasks import answer_cache

PEER_LATENCY_S = 0.001
STORE_LATENCY_S = 0.01
STORE_TIMEOUT_S = 2.0
STEP_S = 0.01
TICK_STEPS = 5


class FaultyTable:
    """Table client of one host, with injected faults.

    ``fault`` is empty, ``down``, ``lost`` (the write takes effect, its
    answer is lost) or ``late`` (the write takes effect after the timeout).
    """

    def __init__(self, site, host):
        self._site = site
        self._host = host

    async def _wait(self, seconds):
        await task.deferLater(self._site.clock, seconds)
        await self._host.wait_until_resumed()

    async def read(self, name):
        await self._wait(STORE_LATENCY_S)
        self._check_up()
        return table_module.Row(name, *self._site.table.read(name))

    async def read_prefix(self, prefix):
        await self._wait(STORE_LATENCY_S)
        self._check_up()
        rows = self._site.table.read_prefix(prefix)
        return tuple(table_module.Row(*row) for row in rows)

    def _check_up(self):
        if self._site.fault == "down":
            raise exceptions.StoreUnavailable("down")

    async def transact(self, transaction):
        fault = self._site.fault
        if fault == "down":
            await self._wait(STORE_LATENCY_S)
            raise exceptions.StoreUnavailable("down")
        if fault == "late":
            self._site.clock.callLater(
                STORE_TIMEOUT_S + 0.2, self._apply, transaction
            )
            await self._wait(STORE_TIMEOUT_S)
            raise exceptions.StoreUnavailable("late")
        await task.deferLater(self._site.clock, STORE_LATENCY_S / 2)
        applied, versions = self._apply(transaction)
        await self._wait(STORE_LATENCY_S / 2)
        if fault == "lost":
            await self._wait(STORE_TIMEOUT_S)
            raise exceptions.StoreUnavailable("lost")
        return table_module.TransactionResult(applied, versions)

    def _apply(self, transaction):
        return self._site.table.transact(
            transaction.version_by_checked_row, transaction.value_by_row
        )


class TableSite:
    """The attributes of a site that ``FaultyTable`` needs."""

    def __init__(self, clock):
        self.clock = clock
        self.table = table_standin.MemoryTable()
        self.fault = ""


class NeverPausedHost:
    """A host that is never paused."""

    def wait_until_resumed(self):
        return defer.succeed(None)


class ClaimHost:
    """One entry host: claims requests and runs those with a first claim."""

    def __init__(self, site, name, incarnation):
        self.site = site
        self.name = name
        self.incarnation = incarnation
        self.paused = False
        self.dead = False
        self._waiting = []
        self.claims = entry_claims.EntryClaims(
            site.clock,
            name,
            incarnation,
            claim_journal.ClaimJournal(FaultyTable(site, self)),
            self._send,
        )

    def _send(self, peer, message):
        if not self.dead:
            self.site.deliver_message(self, peer, message)

    def run_or_defer(self, call, *arguments):
        """Run a call now, or when the paused host resumes."""
        if self.dead:
            return
        if self.paused:
            self._waiting.append((call, arguments))
        else:
            call(*arguments)

    def wait_until_resumed(self):
        resumed = defer.Deferred()
        self.run_or_defer(resumed.callback, None)
        return resumed

    def resume(self):
        self.paused = False
        waiting, self._waiting = self._waiting, []
        for call, arguments in waiting:
            self.run_or_defer(call, *arguments)


class ClaimRequest:
    """One request of a caller at its entry host."""

    def __init__(self, host, key, run_s, run_verdict):
        self.host = host
        self.key = key
        self.outcome = None
        self.answer = None
        self.ran = False
        self._seq = None
        self._run_s = run_s
        self._run_verdict = run_verdict

    def begin_claim(self, digest):
        self.host.claims.begin_claim(
            "mills",
            self.key,
            digest,
            30.0,
            self._record_seq,
            self._handle_decision,
        )

    def _record_seq(self, seq):
        self._seq = seq

    def _handle_decision(self, decided):
        self.outcome = decided.outcome
        self.answer = decided.answer
        site = self.host.site
        if decided.outcome is not claim_records.Outcome.FIRST:
            return
        if self._run_verdict != "not-run":
            self.ran = True
            site.runs_by_key[self.key] += 1
        site.clock.callLater(
            self._run_s, self.host.run_or_defer, self._end_run
        )

    def _end_run(self):
        kept = None
        if self._run_verdict == "ran":
            kept = answer_cache.CachedAnswer(200, (), self.key.encode())
        self.host.claims.end_claim(
            self._seq, verdict.Verdict(self._run_verdict), 200, kept
        )


class ClaimSite:
    """Hosts named ``entry-0`` and up; the first ones hold the seats."""

    def __init__(self, hosts=3, seats=2):
        self.clock = task.Clock()
        self.table = table_standin.MemoryTable()
        self.fault = ""
        self.cut_links = set()
        self.requests = []
        self.runs_by_key = collections.Counter()
        self.host_by_name = {}
        self._steps = 0
        self._starts = 0
        self.seats = {}
        self._seat_count = seats
        for index in range(hosts):
            self.start_host(f"entry-{index}")
        for number in range(seats):
            self.give_seat(number, f"entry-{number}", publish=False)
        self.publish_state()

    def start_host(self, name):
        self._starts += 1
        host = ClaimHost(self, name, f"start-{self._starts}")
        if name in self.host_by_name:
            self.host_by_name[name].dead = True
        self.host_by_name[name] = host
        host.claims.configure(self.state())
        return host

    def state(self):
        return fleet.FleetState(
            1,
            manifest=manifest.Manifest(
                "s", "r", (), (), (), (), entry_seats=self._seat_count
            ),
            seats=tuple(self.seats.values()),
        )

    def give_seat(self, number, name, publish=True):
        epoch = self.seats[number].epoch + 1 if number in self.seats else 1
        incarnation = self.host_by_name[name].incarnation
        self.seats[number] = fleet.Seat(number, name, incarnation, epoch)
        if publish:
            self.publish_state()

    def publish_state(self):
        for host in self.host_by_name.values():
            host.run_or_defer(host.claims.configure, self.state())

    def deliver_message(self, sender, peer, message):
        if (sender.name, peer) in self.cut_links:
            return
        host = self.host_by_name.get(peer)
        if host is not None:
            self.clock.callLater(
                PEER_LATENCY_S,
                host.run_or_defer,
                host.claims.handle_message,
                sender.name,
                sender.incarnation,
                message,
            )

    def request(self, name, key, run_s=0.2, run_verdict="ran", digest="d"):
        request = ClaimRequest(
            self.host_by_name[name], key, run_s, run_verdict
        )
        self.requests.append(request)
        request.host.run_or_defer(request.begin_claim, digest)
        return request

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self._steps += 1
            if self._steps % TICK_STEPS == 0:
                for host in self.host_by_name.values():
                    if not host.paused and not host.dead:
                        host.claims.tick()
            self.clock.advance(STEP_S)

    def duplicates(self):
        """Return the number of runs beyond the first of each request id."""
        return sum(count - 1 for count in self.runs_by_key.values())

    def false_refusals(self):
        """Return the number of outcomes that contradict the counted runs."""
        contradictions = 0
        for request in self.requests:
            outcome = request.outcome
            told_not_run = outcome in (
                claim_records.Outcome.REFUSED,
                claim_records.Outcome.MISMATCH,
            )
            contradictions += told_not_run and request.ran
            ran = self.runs_by_key[request.key] > 0
            contradictions += outcome is claim_records.Outcome.RAN and not ran
        return contradictions


def run_random(seed, seconds=60.0, hosts=4, seats=3):
    """Return a site after a run with random faults from a seed."""
    rng = random.Random(seed)
    site = ClaimSite(hosts, seats)
    names = list(site.host_by_name)
    faults = [
        lambda: setattr(
            site, "fault", rng.choice(["", "down", "lost", "late"])
        ),
        lambda: setattr(site, "fault", ""),
        lambda: site.cut_links.add(tuple(rng.sample(names, 2))),
        site.cut_links.clear,
        lambda: setattr(site.host_by_name[rng.choice(names)], "paused", True),
        lambda: [host.resume() for host in site.host_by_name.values()],
        lambda: site.start_host(rng.choice(names)),
        lambda: site.give_seat(rng.randrange(seats), rng.choice(names)),
    ]
    end = site.clock.seconds() + seconds
    while site.clock.seconds() < end:
        if rng.random() < 0.1:
            rng.choice(faults)()
        for _ in range(rng.randrange(3)):
            site.request(
                rng.choice(names),
                f"r-{rng.randrange(1 + len(site.requests) // 4)}",
                rng.choice([0.05, 0.5, 3.0]),
                rng.choice(["ran", "ran", "may-have-run", "not-run"]),
                rng.choice(["d"] * 9 + ["e"]),
            )
        site.run(rng.choice([0.02, 0.1, 0.3]))
    site.fault = ""
    site.cut_links.clear()
    for host in site.host_by_name.values():
        host.resume()
    site.run(10)
    return site
