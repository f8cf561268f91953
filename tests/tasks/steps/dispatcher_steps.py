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


class DispatcherHarness:
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

    def submit(self, team, deadline_s=600.0, queue="queue", **fields):
        self.count += 1
        name = str(self.count)
        self.team_by_id[name] = team
        item = request_models.Submission(
            name, queue, team, self.now, self.now + deadline_s, True, **fields
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
def make_dispatcher(context, limit):
    context.harness = DispatcherHarness(limit)


@given('"a" has share 3 and "b" has share 1')
def set_shares(context):
    manifest = context.harness.state.manifest
    teams = tuple(
        dataclasses.replace(team, share={"a": 3.0, "b": 1.0}[team.name])
        for team in manifest.teams
    )
    context.harness.configure(
        manifest=dataclasses.replace(manifest, teams=teams)
    )


@given("a spare pool of 4 runners with its own queue")
def add_spare(context):
    manifest = context.harness.state.manifest
    context.harness.configure(
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
def learn_run_time(context):
    harness = context.harness
    names = [harness.submit("a") for _ in range(32)]
    harness.now += 1.0
    for name in names:
        harness.end(name)
    for _ in range(32):
        harness.submit("a")
    harness.apply(harness.dispatcher.tick(harness.now))


@when('"a" submits {count_a:d} requests and then "b" submits {count_b:d}')
def submit_both(context, count_a, count_b):
    for team, count in (("a", count_a), ("b", count_b)):
        for _ in range(count):
            context.harness.submit(team)


@when('"b" submits {count:d} requests to the spare pool\'s queue')
def submit_spare(context, count):
    for _ in range(count):
        context.harness.submit("b", queue="spare-queue")


@when("{count:d} requests end at the spare pool")
def end_spare(context, count):
    harness = context.harness
    running_at_spare = [
        name
        for name, (dispatch, _) in harness.running.items()
        if dispatch.runner.startswith("spare")
    ]
    for name in running_at_spare[:count]:
        harness.end(name)


@when('"a" submits {count:d} requests that have {left:g} s left')
def submit_with_deadline(context, count, left):
    context.names = [context.harness.submit("a", left) for _ in range(count)]


@then("between {low:d} and {high:d} of them are accepted")
def check_accepted(context, low, high):
    accepted = sum(n not in context.harness.refused for n in context.names)
    assert low <= accepted <= high, accepted


@when("no slot becomes free for {seconds:g} s")
def wait_without_free_slot(context, seconds):
    harness = context.harness
    context.refused_before = set(harness.refused)
    for _ in range(round(seconds / 0.1)):
        harness.now += 0.1
        harness.apply(harness.dispatcher.tick(harness.now))


@then("the refusals say not-run before the deadline has passed")
def check_refusals(context):
    later = set(context.harness.refused) - context.refused_before
    assert later, "nothing was refused"
    for name in later:
        refusal, _ = context.harness.refused[name]
        assert refusal.verdict is verdict_models.Verdict.NOT_RUN
        assert refusal.status == 503, refusal


@when('a request of "a" ends')
def end_one(context):
    harness = context.harness
    harness.now += 0.1
    harness.end(
        next(n for n in harness.running if harness.team_by_id[n] == "a")
    )


@then('{count_a:d} requests of "a" and {count_b:d} of "b" run')
def check_running(context, count_a, count_b):
    harness = context.harness
    teams = collections.Counter(harness.team_by_id[n] for n in harness.running)
    assert (teams["a"], teams["b"]) == (count_a, count_b), teams


@when("requests of {run_s:g} s are served for {seconds:g} seconds")
def serve_requests(context, run_s, seconds):
    context.harness.run(seconds, run_s)


@then('"a" has used between {low:g} and {high:g} times the slot time of "b"')
def check_ratio(context, low, high):
    used = context.harness.used
    assert low <= used["a"] / used["b"] <= high, used


@when("the fleet state says that {what} is out")
def take_out(context, what):
    kind = "zones_out" if what in ZONES else "draining"
    context.harness.configure(**{kind: (what,)})


@then("no request runs at {what}")
def check_not_at(context, what):
    harness = context.harness
    assert harness.running
    for dispatch, _ in harness.running.values():
        runner = harness.state.manifest.runner_by_name[dispatch.runner]
        assert what not in (runner.name, runner.zone), dispatch


@then("a dispatch to it violates an invariant")
def check_invariant(context):
    harness = context.harness
    record = harness.dispatcher._record_by_runner["runner-0"]
    record.zone_out = record.draining = False
    record.entry = None
    try:
        harness.apply(
            harness.dispatcher.handle_permits_gained(
                harness.now, "pool", "pool"
            )
        )
    except exceptions.InvariantViolation:
        return
    raise AssertionError("the dispatch was carried out")


@when("a dispatcher handles random requests, results, drains and zone changes")
def run_random_events(context):
    for seed in range(10):
        rng = random.Random(seed)
        context.harness = harness = DispatcherHarness(99)
        for _ in range(600):
            harness.now += rng.random() * 0.02
            kind = rng.random()
            before = dict(harness.running)
            if kind < 0.5:
                harness.submit(rng.choice("ab"))
            elif kind < 0.9 and harness.running:
                harness.end(rng.choice(sorted(harness.running)))
            elif kind < 0.93:
                out = tuple(z for z in ZONES if rng.random() < 0.3)
                harness.configure(zones_out=out)
            elif kind < 0.96:
                harness.configure(draining=(f"runner-{rng.randrange(4)}",))
            else:
                harness.now += 5.0
                harness.apply(harness.dispatcher.tick(harness.now))
            check_choice(harness, before)


def check_choice(harness, before):
    """Compare the load of each runner with what the rule allows."""
    load = collections.Counter(d.runner for d, _ in harness.running.values())
    assert max(load.values(), default=0) <= 8, load
    usable = [
        runner
        for runner in harness.state.manifest.runners
        if runner.zone not in harness.state.zones_out
        and runner.name not in harness.state.draining
    ]
    new = [n for n in harness.running if n not in before]
    near = [r.name for r in usable if r.zone == "az-a"]
    if len(new) == 1 and not harness.dispatcher.waiting:
        chosen = harness.running[new[0]][0].runner
        load[chosen] -= 1
        records = harness.dispatcher._record_by_runner
        returning = any(r.returned_at is not None for r in records.values())
        if near and chosen not in near and not returning:
            assert all(load[name] == 8 for name in near), (chosen, load)
        if chosen in near and not returning:
            assert load[chosen] == min(load[name] for name in near)


@then("the routing rule allows each choice, and all slots are free at the end")
def check_slots(context):
    harness = context.harness
    harness.configure(zones_out=(), draining=())
    harness.now += 10.0
    for name in list(harness.running):
        harness.end(name)
    while harness.running:
        harness.end(next(iter(harness.running)))
    for runner in harness.state.manifest.runners:
        key = permits_module.runner_limit_key(runner.name)
        assert harness.permits.free(harness.now, key) == 8, runner


@when("half of the waiting requests are cancelled at once")
def cancel_half(context):
    dispatcher = context.harness.dispatcher
    waiting = list(dispatcher._location_by_id)
    context.kept = waiting[1::2]
    decided = dispatcher.cancel_many(0.0, waiting[::2])
    assert decided == []


@then("the other half waits in the same order")
def check_half(context):
    dispatcher = context.harness.dispatcher
    team_queue = dispatcher._work_by_pool["pool"].queue_by_team["a"]
    assert [item.submission_id for item in team_queue.items()] == context.kept
    assert dispatcher.waiting == len(context.kept)


@when('a request that avoids "{runner}" is submitted {count:d} times')
def submit_avoiding(context, runner, count):
    for _ in range(count):
        context.harness.submit("a", avoid_runner=runner)


@when('"a" submits {count:d} requests and its key is withdrawn')
def withdraw(context, count):
    for _ in range(count):
        context.harness.submit("a", api_key_digest="digest-a")
    context.harness.configure(api_keys=())


@then("{count:d} requests are refused with {status:d}")
def check_refused(context, count, status):
    statuses = [r.status for r, _ in context.harness.refused.values()]
    assert statuses == [status] * count, statuses


@when("{runner} answers 500 to every request for 2 seconds")
def fail_runner(context, runner):
    harness = context.harness
    for _ in range(200):
        harness.now += 0.01
        for name, (dispatch, _) in list(harness.running.items()):
            harness.end(name, 500 if dispatch.runner == runner else 200)
        for _ in range(24 - len(harness.running)):
            harness.submit("a")
        harness.apply(harness.dispatcher.tick(harness.now))


@then("at most {count:d} requests reached {runner}")
def check_reached(context, count, runner):
    assert 5 <= context.harness.reached[runner] <= count, (
        context.harness.reached
    )
