import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from azurevane._internal.models import permit_messages
from azurevane._internal.policy import shares
from azurevane._internal.tasks import usage_ledger

_DEMANDS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from((0.5, 1.0, 2.0, 7.0)),
        strategies.integers(0, 90),
    ),
    min_size=1,
    max_size=8,
)


@when("{slots:d} slots are divided between these demands")
def divide_slots(context, slots):
    demands = [
        shares.TeamDemand(
            row["team"], float(row["weight"]), float(row["demand"])
        )
        for row in context.table
    ]
    context.expected = {r["team"]: float(r["part"]) for r in context.table}
    context.parts = shares.weighted_max_min(slots, demands)


@then("each team gets its part")
def check_parts(context):
    assert context.parts == context.expected, context.parts


@when("many random capacities are divided between random demands")
def divide_random(context):
    @hypothesis.seed(7)
    @hypothesis.settings(max_examples=300, deadline=None, database=None)
    @hypothesis.given(strategies.integers(1, 200), _DEMANDS)
    def check_division(capacity, pairs):
        demands = [
            shares.TeamDemand(str(n), weight, float(demand))
            for n, (weight, demand) in enumerate(pairs)
        ]
        parts = shares.weighted_max_min(capacity, demands)
        total = sum(item.demand for item in demands)
        assert abs(sum(parts.values()) - min(capacity, total)) < 1e-6
        levels = {c.team: parts[c.team] / c.weight for c in demands}
        for item in demands:
            part = parts[item.team]
            assert part <= item.demand
            if part < item.demand - 1e-9:
                assert levels[item.team] >= max(levels.values()) - 1e-9
        division = shares.MaxMinDivision(capacity, demands)
        for item in demands:
            others = [c for c in demands if c is not item]
            unbounded = shares.TeamDemand(item.team, item.weight, 1e9)
            exact = shares.weighted_max_min(capacity, [*others, unbounded])
            part = division.unbounded_part(item.team, item.weight)
            assert abs(part - exact[item.team]) < 1e-6, (part, exact)

    context.check_random_divisions = check_division


@then("each division is exact, and the part of one team agrees with it")
def check_divisions(context):
    context.check_random_divisions()


def make_report(team, seconds, running=0, waiting=0):
    return permit_messages.Usage("pool", team, seconds, running, waiting)


@given('a ledger in which team "a" has used 50 slot seconds and waits')
def make_used_ledger(context):
    context.ledger = usage_ledger.UsageLedger()
    context.ledger.record_start(0.0, "a")
    context.ledger.record_end(50.0, "a", 50.0)
    context.ledger.begin_waiting(50.0, "a")


@when('team "b" that has used nothing begins to wait')
def begin_waiting_after_idle(context):
    context.ledger.begin_waiting(50.0, "b")


@then('the ranks of "a" and "b" differ by less than 0.001')
def check_level(context):
    usage = context.ledger.usage_by_team
    assert abs(usage["a"].rank(50.0) - usage["b"].rank(50.0)) < 0.001


@given('a ledger in which "a" and "b" wait and one request of "a" runs')
def make_running_ledger(context):
    context.ledger = usage_ledger.UsageLedger()
    for team in "ab":
        context.ledger.begin_waiting(0.0, team)
    context.ledger.record_start(0.0, "a")


@when("5 seconds pass")
def advance_time(context):
    context.now = 5.0


@then('"b" is next and "a" has used 5 slot seconds')
def check_next_and_used(context):
    assert context.ledger.next_team(context.now)[1] == "b"
    assert (
        context.ledger.usage_by_team["a"].used_slot_seconds(context.now) == 5.0
    )


@given('a ledger with a peer\'s report of 30 slot seconds of "a"')
def make_peer_ledger(context):
    context.ledger = usage_ledger.UsageLedger()
    context.ledger.merge_peer_usage(1.0, "peer", make_report("a", 30.0))


@when("the peer restarts and reports 2 slot seconds")
def restart_peer(context):
    context.ledger.merge_peer_usage(2.0, "peer", make_report("a", 2.0))


@then('"a" has used 32 slot seconds')
def check_total(context):
    assert context.ledger.usage_by_team["a"].level(2.0) == 32.0


@when("random starts, ends, waits and counters of peers reach a ledger")
def try_random_ledgers(context):
    context.failures = []
    for seed in range(20):
        context.failures += run_random_ledger(random.Random(seed))


def run_random_ledger(rng):
    ledger = usage_ledger.UsageLedger()
    now, seconds, failures = 0.0, 0.0, []
    for _ in range(300):
        now += rng.random() * 0.05
        team = rng.choice("abcdef")
        usage = ledger.team_usage(team)
        kind = rng.randrange(5)
        if kind == 0:
            ledger.begin_waiting(now, team)
        elif kind == 1 and usage.waiting:
            ledger.stop_waiting(team)
            ledger.record_start(now, team)
        elif kind == 2 and usage.running:
            ledger.record_end(now, team, 0.1)
        elif kind == 3:
            seconds += rng.random()
            counts = rng.randrange(4), rng.randrange(2)
            ledger.merge_peer_usage(
                now, rng.choice("xy"), make_report(team, seconds, *counts)
            )
        else:
            ledger.refresh(now)
        ranks = {
            name: item.rank(now)
            for name, item in ledger.usage_by_team.items()
            if item.waiting
        }
        next_team = ledger.next_team(now)
        if (next_team is None) != (not ranks) or (
            next_team and next_team[0] > min(ranks.values()) + 1e-9
        ):
            failures.append((next_team, ranks))
    return failures


@then("its next team always has the lowest rank of the waiting teams")
def check_next_team(context):
    assert not context.failures, context.failures[0]
