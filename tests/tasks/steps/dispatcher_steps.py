import collections
import dataclasses
import random

from behave import given
from behave import then
from behave import when

from azurevane import exceptions
from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.models import request as request_models
from azurevane._internal.models import verdict as verdict_models
from azurevane._internal.tasks import dispatcher as dispatcher_module
from azurevane._internal.tasks import permits as permits_module

ZONES = ("az-a", "az-b")


def runners(pool, prefix, count):
    return tuple(
        manifest_models.Runner(f"{prefix}-{n}", pool, ZONES[n % 2], "::1", 1)
        for n in range(count)
    )


class Bench:
    """A dispatcher with every permit, and what became of each request."""

    def __init__(self, limit):
        self.permits = permits_module.LocalPermits()
        self.dispatcher = dispatcher_module.Dispatcher(self.permits, "az-a")
        self.now = 0.0
        self.count = 0
        self.team_by_id = {}
        self.running = {}
        self.refused = {}
        self.reached = collections.Counter()
        self.used = collections.Counter()
        self.state = fleet.FleetState(
            1,
            manifest=manifest_models.Manifest(
                "site",
                "region",
                ZONES,
                (
                    manifest_models.Team("a", 1.0, limit),
                    manifest_models.Team("b", 1.0, 99),
                ),
                (manifest_models.Pool("pool"),),
                (manifest_models.Queue("queue", "pool"),),
                runners("pool", "runner", 4),
            ),
            api_keys=(fleet.ApiKey("digest-a", "a"),),
        )
        self.configure()

    def configure(self, **changes):
        self.state = dataclasses.replace(self.state, **changes)
        self.permits.configure(self.now, self.state)
        self.apply(self.dispatcher.configure(self.now, self.state))

    def apply(self, decided):
        for effect in decided:
            if isinstance(effect, request_models.Refusal):
                self.refused[effect.submission_id] = effect, self.now
            else:
                self.running[effect.submission_id] = effect, self.now
                self.reached[effect.runner] += 1

    def submit(self, team, left=600.0, queue="queue", **fields):
        self.count += 1
        name = str(self.count)
        self.team_by_id[name] = team
        item = request_models.Submission(
            name, queue, team, self.now, self.now + left, True, **fields
        )
        self.apply(self.dispatcher.submit(self.now, item))
        return name

    def end(self, name, status=200):
        dispatch, started = self.running.pop(name)
        self.used[self.team_by_id[name]] += self.now - started
        result = request_models.RunResult(
            name, dispatch.runner, started, self.now, status, None
        )
        self.apply(self.dispatcher.handle_run_end(self.now, result))

    def run(self, seconds, run_s):
        for step in range(round(seconds / 0.01)):
            self.now += 0.01
            for name, (_, started) in list(self.running.items()):
                if self.now - started >= run_s - 1e-9:
                    self.end(name)
                    self.submit(self.team_by_id[name])
            if step % 10 == 0:
                self.apply(self.dispatcher.tick(self.now))


@given('a dispatcher for 4 runners, where team "a" may run {limit:d}')
def make(context, limit):
    context.bench = Bench(limit)


@given('"a" has share 3 and "b" has share 1')
def set_shares(context):
    manifest = context.bench.state.manifest
    teams = tuple(
        dataclasses.replace(team, share={"a": 3.0, "b": 1.0}[team.name])
        for team in manifest.teams
    )
    context.bench.configure(
        manifest=dataclasses.replace(manifest, teams=teams)
    )


@given("a spare pool of 4 runners with its own queue")
def add_spare(context):
    manifest = context.bench.state.manifest
    context.bench.configure(
        manifest=dataclasses.replace(
            manifest,
            pools=(*manifest.pools, manifest_models.Pool("spare", True)),
            queues=(
                *manifest.queues,
                manifest_models.Queue("spare-queue", "spare"),
            ),
            runners=manifest.runners + runners("spare", "spare", 4),
        )
    )


@given('runs of "a" take 1 s')
def learn(context):
    bench = context.bench
    names = [bench.submit("a") for _ in range(32)]
    bench.now += 1.0
    for name in names:
        bench.end(name)
    for _ in range(32):
        bench.submit("a")
    bench.apply(bench.dispatcher.tick(bench.now))


@when('"a" submits {count_a:d} requests and then "b" submits {count_b:d}')
def submit_both(context, count_a, count_b):
    for team, count in (("a", count_a), ("b", count_b)):
        for _ in range(count):
            context.bench.submit(team)


@when('"b" submits {count:d} requests to the spare pool\'s queue')
def submit_spare(context, count):
    for _ in range(count):
        context.bench.submit("b", queue="spare-queue")


@when("{count:d} requests end at the spare pool")
def end_spare(context, count):
    bench = context.bench
    guests = [
        name
        for name, (dispatch, _) in bench.running.items()
        if dispatch.runner.startswith("spare")
    ]
    for name in guests[:count]:
        bench.end(name)


@when('"a" submits {count:d} requests that have {left:g} s left')
def submit_with_deadline(context, count, left):
    context.names = [context.bench.submit("a", left) for _ in range(count)]


@then("between {low:d} and {high:d} of them are accepted")
def check_accepted(context, low, high):
    accepted = sum(n not in context.bench.refused for n in context.names)
    assert low <= accepted <= high, accepted


@when("no slot becomes free for {seconds:g} s")
def wait(context, seconds):
    bench = context.bench
    context.refused_before = set(bench.refused)
    for _ in range(round(seconds / 0.1)):
        bench.now += 0.1
        bench.apply(bench.dispatcher.tick(bench.now))


@then("the refusals say not-run before the deadline has passed")
def check_refusals(context):
    later = set(context.bench.refused) - context.refused_before
    assert later, "nothing was refused"
    for name in later:
        refusal, _ = context.bench.refused[name]
        assert refusal.verdict is verdict_models.Verdict.NOT_RUN
        assert refusal.status == 503, refusal


@when('a request of "a" ends')
def end_one(context):
    bench = context.bench
    bench.now += 0.1
    bench.end(next(n for n in bench.running if bench.team_by_id[n] == "a"))


@then('{count_a:d} requests of "a" and {count_b:d} of "b" run')
def check_running(context, count_a, count_b):
    bench = context.bench
    teams = collections.Counter(bench.team_by_id[n] for n in bench.running)
    assert (teams["a"], teams["b"]) == (count_a, count_b), teams


@when("requests of {run_s:g} s are served for {seconds:g} seconds")
def serve(context, run_s, seconds):
    context.bench.run(seconds, run_s)


@then('"a" has used between {low:g} and {high:g} times the slot time of "b"')
def check_ratio(context, low, high):
    used = context.bench.used
    assert low <= used["a"] / used["b"] <= high, used


@when("the fleet state says that {what} is out")
def take_out(context, what):
    kind = "zones_out" if what in ZONES else "draining"
    context.bench.configure(**{kind: (what,)})


@then("no request runs at {what}")
def check_not_at(context, what):
    bench = context.bench
    assert bench.running
    for dispatch, _ in bench.running.values():
        runner = bench.state.manifest.runner_by_name[dispatch.runner]
        assert what not in (runner.name, runner.zone), dispatch


@then("an order to run one there breaks an invariant")
def check_invariant(context):
    bench = context.bench
    record = bench.dispatcher._record_by_runner["runner-0"]
    record.zone_out = record.draining = False
    record.entry = None
    try:
        bench.apply(
            bench.dispatcher.handle_permits_gained(bench.now, "pool", "pool")
        )
    except exceptions.InvariantViolation:
        return
    raise AssertionError("the order was carried out")


@when("random requests, ends, drains and zones pass through a dispatcher")
def random_run(context):
    for seed in range(10):
        rng = random.Random(seed)
        context.bench = bench = Bench(99)
        for _ in range(600):
            bench.now += rng.random() * 0.02
            kind = rng.random()
            before = dict(bench.running)
            if kind < 0.5:
                bench.submit(rng.choice("ab"))
            elif kind < 0.9 and bench.running:
                bench.end(rng.choice(sorted(bench.running)))
            elif kind < 0.93:
                out = tuple(z for z in ZONES if rng.random() < 0.3)
                bench.configure(zones_out=out)
            elif kind < 0.96:
                bench.configure(draining=(f"runner-{rng.randrange(4)}",))
            else:
                bench.now += 5.0
                bench.apply(bench.dispatcher.tick(bench.now))
            check_step(bench, before)


def check_step(bench, before):
    """Compare the load of each runner with what the rule allows."""
    load = collections.Counter(d.runner for d, _ in bench.running.values())
    assert max(load.values(), default=0) <= 8, load
    usable = [
        runner
        for runner in bench.state.manifest.runners
        if runner.zone not in bench.state.zones_out
        and runner.name not in bench.state.draining
    ]
    new = [n for n in bench.running if n not in before]
    near = [r.name for r in usable if r.zone == "az-a"]
    if len(new) == 1 and not bench.dispatcher.waiting:
        chosen = bench.running[new[0]][0].runner
        load[chosen] -= 1
        records = bench.dispatcher._record_by_runner
        returning = any(r.returned_at is not None for r in records.values())
        if near and chosen not in near and not returning:
            assert all(load[name] == 8 for name in near), (chosen, load)
        if chosen in near and not returning:
            assert load[chosen] == min(load[name] for name in near)


@then("each choice is one that the routing rule allows, and slots return")
def check_slots(context):
    bench = context.bench
    bench.configure(zones_out=(), draining=())
    bench.now += 10.0
    for name in list(bench.running):
        bench.end(name)
    while bench.running:
        bench.end(next(iter(bench.running)))
    for runner in bench.state.manifest.runners:
        key = permits_module.runner_limit_key(runner.name)
        assert bench.permits.free(bench.now, key) == 8, runner


@when("half of what waits is cancelled at once")
def cancel_half(context):
    dispatcher = context.bench.dispatcher
    waiting = list(dispatcher._location_by_id)
    context.kept = waiting[1::2]
    passes = dispatcher.cancel_many(0.0, waiting[::2])
    assert passes == []


@then("the other half waits in the same order")
def check_half(context):
    dispatcher = context.bench.dispatcher
    own = dispatcher._work_by_pool["pool"].queue_by_team["a"]
    assert [item.submission_id for item in own.items()] == context.kept
    assert dispatcher.waiting == len(context.kept)


@when('a request that avoids "{runner}" is submitted {count:d} times')
def submit_avoiding(context, runner, count):
    for _ in range(count):
        context.bench.submit("a", avoid_runner=runner)


@when('"a" submits {count:d} requests and its key is withdrawn')
def withdraw(context, count):
    for _ in range(count):
        context.bench.submit("a", api_key_digest="digest-a")
    context.bench.configure(api_keys=())


@then("{count:d} requests are refused with {status:d}")
def check_refused(context, count, status):
    statuses = [r.status for r, _ in context.bench.refused.values()]
    assert statuses == [status] * count, statuses


@when("{runner} answers 500 to every request for 2 seconds")
def fail_runner(context, runner):
    bench = context.bench
    for _ in range(200):
        bench.now += 0.01
        for name, (dispatch, _) in list(bench.running.items()):
            bench.end(name, 500 if dispatch.runner == runner else 200)
        for _ in range(24 - len(bench.running)):
            bench.submit("a")
        bench.apply(bench.dispatcher.tick(bench.now))


@then("at most {count:d} requests reached {runner}")
def check_reached(context, count, runner):
    assert 5 <= context.bench.reached[runner] <= count, context.bench.reached
