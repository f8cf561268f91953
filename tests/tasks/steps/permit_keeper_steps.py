import collections
import dataclasses
import math
import unittest
from unittest import mock

from behave import given
from behave import then
from behave import when
import permit_runs
import permit_site

from azurevane import exceptions
from azurevane._internal import invariants
from azurevane._internal.models import effects
from azurevane._internal.models import fleet
from azurevane._internal.models import permit_messages
from azurevane._internal.policy import limits
from azurevane._internal.policy import seats as seat_policy
from azurevane._internal.tasks import permit_keeper
from azurevane._internal.tasks import permit_ledger

TEAM = "team:t"
KEY_BY_KIND = {
    "permits": TEAM,
    "slots": "runner:main-0",
    "spare slots": "runner:spare-0",
}
SEATS = [f"e{number}" for number in range(6)]


class Hosts:
    """Permit keepers whose messages are delivered at once and in order."""

    def __init__(self, limit=60, **plan):
        self.now = 0.0
        self.keeper_by_name = {}
        self.is_lost = lambda sender, send: False
        self.sent = []
        self.runs = collections.defaultdict(list)
        self.plan = permit_site.SitePlan(
            {"t": limit}, **{"max_run_s": 30.0, **plan}
        )
        self.state = fleet.FleetState(
            version=1,
            manifest=permit_site.build_manifest(self.plan),
            seats=tuple(
                fleet.Seat(number, name, f"{name}-1", 1)
                for number, name in enumerate(SEATS)
            ),
        )
        for name in SEATS:
            self.start(name, 1)

    def start(self, name, incarnation):
        keeper = permit_keeper.PermitKeeper(name, f"{name}-{incarnation}")
        keeper.configure(self.now, self.state)
        keeper.set_fresh(self.now, math.inf)
        self.keeper_by_name[name] = keeper

    def change(self, names=None, **changes):
        self.state = dataclasses.replace(
            self.state, version=self.state.version + 1, **changes
        )
        self.configure(names or self.keeper_by_name)

    def configure(self, names, restrictions=()):
        for name in names:
            keeper = self.keeper_by_name[name]
            decided = keeper.configure(self.now, self.state, restrictions)
            self.carry_out(name, decided)

    def carry_out(self, sender, decided):
        queue = collections.deque((sender, effect) for effect in decided)
        while queue:
            name, effect = queue.popleft()
            if not isinstance(effect, effects.Send):
                continue
            self.sent.append((name, effect))
            keeper = self.keeper_by_name.get(effect.peer)
            if keeper and not self.is_lost(name, effect):
                queue.extend(
                    (effect.peer, item)
                    for item in keeper.handle(self.now, name, effect.message)
                )

    def want(self, name, demand_key, count, rank=0.0, waited_s=0.0):
        keeper = self.keeper_by_name[name]
        self.carry_out(
            name, keeper.want(self.now, *demand_key, count, rank, waited_s)
        )

    def start_runs(self, name, count, run_s=30.0, key=TEAM):
        """Start runs while permits are free; return how many started."""
        keeper = self.keeper_by_name[name]
        started = 0
        for _ in range(count):
            holder = f"{name}-run-{len(self.sent)}-{len(self.runs[name])}"
            if keeper.acquire(self.now, key, holder, self.now + run_s):
                self.runs[name].append(holder)
                started += 1
        return started

    def end_runs(self, name, count):
        for _ in range(count):
            keeper = self.keeper_by_name[name]
            self.carry_out(
                name, keeper.release(self.now, self.runs[name].pop())
            )

    def advance(self, seconds):
        end = self.now + seconds
        while True:
            due, name = min(
                (keeper.next_due or math.inf, name)
                for name, keeper in self.keeper_by_name.items()
            )
            if due > end:
                break
            self.now = max(self.now, due)
            self.carry_out(name, self.keeper_by_name[name].tick(self.now))
        self.now = end


@given("a team with a limit of {limit:d}")
def make_hosts(context, limit):
    context.hosts = Hosts(limit)


@given('a host "{name}" without a seat')
def add_host(context, name):
    context.hosts.start(name, 1)


@given('messages from "{sender}" to "{receiver}" are lost')
def lose_messages(context, sender, receiver):
    context.hosts.is_lost = lambda name, send: (
        (name, send.peer) == (sender, receiver)
    )


@when("all messages arrive again")
def deliver_all_messages(context):
    context.hosts.is_lost = lambda sender, send: False


@given('{kind} messages to "{receiver}" arrive late')
def delay_messages(context, kind, receiver):
    context.delayed = []

    def is_delayed(sender, send):
        if type(send.message).__name__ != kind or send.peer != receiver:
            return False
        context.delayed.append((sender, send))
        return True

    context.hosts.is_lost = is_delayed


@when("the late messages arrive")
@when("the late messages arrive again")
def deliver_delayed_messages(context):
    context.replies = []
    for sender, send in list(context.delayed):
        keeper = context.hosts.keeper_by_name[send.peer]
        replies = keeper.handle(context.hosts.now, sender, send.message)
        context.replies += replies
        context.hosts.carry_out(send.peer, replies)


@when('copies of all previous reports of "{name}" arrive at "{receiver}"')
def repeat_reports(context, name, receiver):
    copies = [
        send.message
        for sender, send in context.hosts.sent
        if (sender, send.peer) == (name, receiver)
        and isinstance(send.message, permit_messages.Loan)
        and not send.message.count
    ]
    assert copies
    for message in copies:
        keeper = context.hosts.keeper_by_name[receiver]
        keeper.handle(context.hosts.now, name, message)


@when('"{name}" is paused for {seconds:g} s but stays fresh')
def pause_host(context, name, seconds):
    keeper = context.hosts.keeper_by_name.pop(name)
    context.hosts.advance(seconds)
    context.hosts.keeper_by_name[name] = keeper


@given("a runner with 24 slots in a zone that was out")
def make_zone_out(context):
    context.hosts = Hosts(runners=1, spare_runners=0, slots=24)
    context.hosts.change(zones_out=("a",))


@when("the zone returns")
def return_zone(context):
    context.hosts.change(zones_out=())


@when('work for {count:d} permits waits at "{name}"')
def want_team(context, count, name):
    context.hosts.want(name, ("team", "t"), count)


@when('the demand of "{name}" ends')
def end_demand(context, name):
    context.hosts.want(name, ("team", "t"), 0)


@when("{seconds:g} s pass")
def advance(context, seconds):
    context.hosts.advance(seconds)


@when('"{name}" runs work under {count:d} permits')
def run_work(context, name, count):
    assert context.hosts.start_runs(name, count) == count


@when('"{name}" is cut off from its peers but stays fresh')
def cut_off_host(context, name):
    context.hosts.is_lost = lambda sender, send: name in (sender, send.peer)


@when('"{name}" is replaced by a new incarnation')
def replace_host(context, name):
    context.hosts.start(name, 2)


@when('"{name}" receives returns of 4, 7, 4 and 7 permits')
def repeat_returns(context, name):
    loan = next(
        send.message
        for sender, send in context.hosts.sent
        if sender == name and isinstance(send.message, permit_messages.Loan)
    )
    keeper = context.hosts.keeper_by_name[name]
    for count in (4, 7, 4, 7):
        message = permit_messages.Return(loan.loan_id, count)
        keeper.handle(context.hosts.now, "e0", message)


@when('a host "{name}" takes the seat of "{holder}"')
def take_seat(context, name, holder):
    context.hosts.start(name, 1)
    number = SEATS.index(holder)
    seats = list(context.hosts.state.seats)
    seats[number] = fleet.Seat(number, name, f"{name}-1", 2)
    context.hosts.change(seats=tuple(seats))


@when('a host "{name}" that knows the change takes the seat of "{holder}"')
def take_seat_later(context, name, holder):
    hosts = context.hosts
    number = SEATS.index(holder)
    seats = list(hosts.state.seats)
    seats[number] = fleet.Seat(number, name, f"{name}-1", 2)
    hosts.change(seats=tuple(seats))


@when("the longest run time is lowered to {seconds:g} s")
def lower_run_time(context, seconds):
    plan = dataclasses.replace(context.hosts.plan, max_run_s=seconds)
    context.hosts.change(manifest=permit_site.build_manifest(plan))


@when('"{name}" begins its handover')
def begin_handover(context, name):
    context.hosts.keeper_by_name[name].begin_handover()


@when('"{name}" hands its seat over to "{successor}"')
def hand_over(context, name, successor):
    hosts = context.hosts
    begin_handover(context, name)
    check_seat_releasable(context, name)
    number = SEATS.index(name)
    for holder, incarnation, epoch in (("", "", 1), (successor, "x-1", 2)):
        if holder:
            hosts.start(holder, 1)
        hosts.change(
            seats=tuple(
                fleet.Seat(number, holder, incarnation, epoch, clean=True)
                if seat.number == number
                else seat
                for seat in hosts.state.seats
            )
        )


@when('"{name}" releases its seat')
def release_seat(context, name):
    hosts = context.hosts
    begin_handover(context, name)
    check_seat_releasable(context, name)
    released = seat_policy.released_seat(hosts.state, name, f"{name}-1")
    hosts.change(
        seats=tuple(
            released if seat.number == released.number else seat
            for seat in hosts.state.seats
        )
    )


@when('a new host "{name}" takes the released seat')
def take_released_seat(context, name):
    hosts = context.hosts
    hosts.start(name, 1)
    taken = seat_policy.choose_seat(hosts.state, name, f"{name}-1", ())
    hosts.change(
        seats=tuple(
            taken if seat.number == taken.number else seat
            for seat in hosts.state.seats
        )
    )


@then('"{name}" may not release its seat')
def check_seat_not_releasable(context, name):
    hosts = context.hosts
    assert not hosts.keeper_by_name[name].handed_over(hosts.now)


@then('"{name}" may release its seat')
def check_seat_releasable(context, name):
    hosts = context.hosts
    assert hosts.keeper_by_name[name].handed_over(hosts.now)


@when('"{name}" isn\'t fresh')
def lose_freshness(context, name):
    context.hosts.keeper_by_name[name].set_fresh(0.0, -1.0)


@when("the limit is lowered to {limit:d}")
@when("the limit is raised to {limit:d}")
def set_limit(context, limit):
    plan = dataclasses.replace(context.hosts.plan, limit_by_team={"t": limit})
    manifest = permit_site.build_manifest(plan)
    seats = seat_policy.seats_under_manifest(context.hosts.state, manifest)
    context.hosts.change(manifest=manifest, seats=seats)


@when(
    'a limit of {limit:d} and a new holder for the seat of "{name}" are'
    " prepared"
)
def prepare_change(context, limit, name):
    restrictions = fleet.Restrictions(
        limit_by_team={"t": limit}, seats=(SEATS.index(name),)
    )
    context.hosts.configure(SEATS, (restrictions,))


@when("the prepared change is withdrawn")
def withdraw_change(context):
    context.hosts.configure(SEATS)


@when("its runner is draining")
def drain_spare_runner(context):
    context.hosts.change(draining=("spare-0",))


@when('"{name}" applies a longest run of {seconds:d} s')
def set_longest_run(context, name, seconds):
    plan = dataclasses.replace(context.hosts.plan, max_run_s=seconds)
    context.hosts.change([name], manifest=permit_site.build_manifest(plan))


@then('"{name}" may use {count:d} {kind}')
def check_free(context, name, count, kind):
    keeper = context.hosts.keeper_by_name[name]
    free = keeper.free(context.hosts.now, KEY_BY_KIND[kind])
    assert free == count, free


@then("all hosts together may use {count:d} {kind}")
def check_all_free(context, count, kind):
    keepers = context.hosts.keeper_by_name.values()
    now = context.hosts.now
    free = sum(keeper.free(now, KEY_BY_KIND[kind]) for keeper in keepers)
    assert free == count, free


@then('{ended:d} runs end at "{name}" and {started:d} new ones start')
def check_restart(context, ended, name, started):
    context.hosts.end_runs(name, ended)
    found = context.hosts.start_runs(name, ended)
    assert found == started, found


@then("no permit is returned")
def check_no_return(context):
    assert context.delayed
    assert not context.replies, context.replies


@then('"{name}" starts 10 runs of 90 s and 50 of 30 s')
def check_run_times(context, name):
    assert context.hosts.start_runs(name, 60, 90.0) == 10
    assert context.hosts.start_runs(name, 60, 30.0) == 50


@then("no message is sent in {seconds:d} s and no timer is left")
def check_idle(context, seconds):
    assert context.hosts.sent
    context.hosts.sent.clear()
    context.hosts.advance(seconds)
    assert not context.hosts.sent, context.hosts.sent
    for keeper in context.hosts.keeper_by_name.values():
        assert keeper.next_due is None


@given("runners with 6 slots, all in use")
def fill_runner(context):
    context.hosts = Hosts(runners=1, spare_runners=0, slots=6)
    for name in SEATS:
        assert context.hosts.start_runs(name, 2, key="runner:main-0") == 1


@given('a waiter of rank {rank:g} at "{name}" that has waited {waited_s:g} s')
def want_slot(context, rank, name, waited_s):
    context.hosts.want(name, ("pool", "main"), 1, rank, waited_s)


@when('"{name}" frees a slot')
def free_slot(context, name):
    context.hosts.end_runs(name, 1)


@then('the free slot is at "{host}"')
def check_free_slot(context, host):
    free = {
        name: keeper.free(context.hosts.now, "runner:main-0")
        for name, keeper in context.hosts.keeper_by_name.items()
    }
    assert free == {name: int(name == host) for name in SEATS}, free


@given("a spare pool with 6 free slots")
def make_spare(context):
    context.hosts = Hosts(runners=0, spare_runners=1, slots=6)


@given('work for {count:d} slots waits for the spare pool at "{name}"')
def want_spare(context, count, name):
    # Its asks are lost, so that only its own base part serves it.
    context.hosts.is_lost = lambda sender, send: (
        sender == name and isinstance(send.message, permit_messages.Ask)
    )
    context.hosts.want(name, ("pool", "spare"), count, rank=9.0)


@when('work for {count:d} slots waits for the main pool at "{name}"')
def want_main(context, count, name):
    context.hosts.want(name, ("pool", "main"), count, rank=1.0)


@when("a site runs for {seconds:d} s with seed {seed:d}")
def run_site(context, seconds, seed):
    context.site = permit_runs.run_randomised(seed, seconds)


@then("no limit was exceeded at the runners")
def check_overruns(context):
    assert context.site.overruns == 0, context.site.overruns


@then("every limit was used to at least {percent:d}%")
def check_highest_usage(context, percent):
    assert len(context.site.highest_use_by_key) == 6, (
        context.site.highest_use_by_key
    )
    for key, fraction in context.site.highest_use_by_key.items():
        assert 100 * fraction >= percent, (key, fraction)


@given("invariant checks are enabled")
def check_invariants(context):
    invariants.set_checks_enabled(True)


def _record_violation(context, action):
    with unittest.TestCase().assertLogs(invariants.logger) as logs:
        try:
            action()
            context.error = None
        except exceptions.InvariantViolation as error:
            context.error = error
        invariants.logger.warning("end")
    context.records = logs.records


@when("a host doesn't count what it has lent of a {kind}")
def skip_lent_count(context, kind):
    demand_key = ("team", "t") if kind == "team" else ("pool", "main")
    key = TEAM if kind == "team" else "runner:main-0"

    def add_granted(ledger, loan):
        ledger.granted_by_id[loan.loan_id] = loan

    def lend_and_use():
        context.hosts.want("e0", demand_key, 60)
        context.hosts.start_runs("e1", 1, key=key)

    with mock.patch.object(
        permit_ledger.PermitLedger, "add_granted", add_granted
    ):
        _record_violation(context, lend_and_use)


@when("every seat gets the whole limit as its base part")
def give_whole_limits(context):
    def whole_limit(key, limit, seats, seat):
        return limit

    with mock.patch.object(limits, "base_part", whole_limit):
        _record_violation(context, context.hosts.change)


@then("an invariant violation with event {number:d} is raised")
def check_violation(context, number):
    assert context.error is not None
    event = context.records[0].event
    assert event.number == number, event
