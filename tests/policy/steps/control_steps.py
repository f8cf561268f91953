import collections
import math
import random

from behave import given
from behave import then
from behave import when

from azurevane._internal.models import manifest
from azurevane._internal.models import task as task_models
from azurevane._internal.policy import budgets
from azurevane._internal.policy import buffers
from azurevane._internal.policy import moves
from azurevane._internal.policy import task_sizes
from azurevane._internal.policy import waves
from azurevane._internal.policy import worker_index
from azurevane._internal.policy import worker_placement
from azurevane._internal.standins import table as standin_table
from support import wave_world


def make_hosts(count, zones, pool="p"):
    return [
        manifest.Host(
            f"w{i}" if pool == "p" else f"{pool}{i}",
            pool,
            f"z{i % zones}",
            f"r{i // 4}",
            30.0,
            130.0,
        )
        for i in range(count)
    ]


@given(
    "{count:d} hosts in {zones:d} zones and a budget of {pool:d} per pool,"
    " {rack:d} per rack, {zone:d} per zone"
)
def make_ledger(context, count, zones, pool, rack, zone):
    context.hosts = make_hosts(count, zones)
    context.budget = manifest.Budget(pool, rack, zone)
    context.ledger = budgets.BudgetLedger(context.hosts, {"p": context.budget})


@when('host "{host}" is stopped')
def stop_host(context, host):
    context.ledger.begin_stop(host, "test")


@when('host "{host}" is lost')
def lose_host(context, host):
    context.ledger.mark_unavailable(host, "lost")


@when('host "{host}" is available again')
def return_host(context, host):
    context.ledger.mark_available(host)


@then('a stop of host "{host}" is blocked by "{kind}"')
def check_stop_blocked(context, host, kind):
    decision = context.ledger.decide_stop(host)
    assert not decision.allowed
    assert any(reason.startswith(kind) for reason in decision.blocking_budgets)


@then('a stop of host "{host}" is allowed')
def check_stop_allowed(context, host):
    assert context.ledger.decide_stop(host) == budgets.StopDecision(True)


@then('a forced stop of host "{host}" is allowed and names "{kind}"')
def check_stop_forced(context, host, kind):
    decision = context.ledger.decide_stop(host, forced=True)
    assert decision.allowed and decision.forced
    assert any(reason.startswith(kind) for reason in decision.blocking_budgets)


@when("{count:d} random stops, losses and returns happen with seed {seed:d}")
def make_random_stops(context, count, seed):
    rng = random.Random(seed)
    planned, lost = set(), set()
    context.exceeded = 0
    for _ in range(count):
        host = rng.choice(context.hosts)
        draw = rng.random()
        if draw < 0.5 and context.ledger.decide_stop(host.name).allowed:
            context.ledger.begin_stop(host.name, "planned")
            planned.add(host)
            context.exceeded += exceeds(planned | lost, context.budget)
        elif draw < 0.55 and host not in planned | lost:
            context.ledger.mark_unavailable(host.name, "lost")
            lost.add(host)
        elif draw > 0.6:
            context.ledger.mark_available(host.name)
            planned.discard(host)
            lost.discard(host)
    assert planned or lost


def exceeds(unavailable, budget):
    """Check the budget independently of the ledger after a planned stop."""
    racks = collections.Counter(host.rack for host in unavailable)
    zones = collections.Counter(host.zone for host in unavailable)
    return (
        len(unavailable) > budget.pool
        or max(racks.values()) > budget.rack
        or max(zones.values()) > budget.zone
    )


@then("no planned stop exceeded a budget")
def check_budget(context):
    # Losses may exceed a budget, but no planned stop is allowed then.
    assert not context.exceeded, context.exceeded


@given('a move of host "{host}" from "{source}" to "{target}"')
def begin_move(context, host, source, target):
    context.store = standin_table.MemoryTable()
    context.facts = moves.Facts(True, 0, True, True)
    record = moves.Assignment(host, source)
    rows = moves.begin_move("m1", record, target)
    context.pools = []
    context.refused = 0
    context.store.transact({}, moves.row_values(rows))


def read_rows(context):
    version_by_row = {}
    values = []
    for name in ("host/w0", "move/m1"):
        version_by_row[name], value = context.store.read(name)
        values.append(value)
    record = moves.Assignment(**values[0])
    return version_by_row, record, moves.Move(**values[1])


def take_step(context):
    versions, record, move = read_rows(context)
    context.pools.append(record.pool)
    if not record.move:
        return False
    rows = moves.advance_move(move, record, context.facts)
    if rows is None:
        return False
    return context.store.transact(versions, moves.row_values(rows))[0]


def take_all_steps(context):
    steps = 0
    while take_step(context):
        steps += 1
        assert steps <= len(moves.MOVE_STEPS), (
            "the move takes more steps than there are"
        )


@when("{steps:d} steps are taken and another controller continues")
def continue_move(context, steps):
    for _ in range(steps):
        take_step(context)
    take_all_steps(context)


@when('{steps:d} steps are taken and pool "{pool}" is removed')
def remove_pool(context, steps, pool):
    for _ in range(steps):
        take_step(context)
    context.facts = moves.Facts(True, 0, False, True)
    take_all_steps(context)


@when("the host runs {count:d} tasks")
def run_tasks_on_host(context, count):
    context.facts = moves.Facts(True, count, True, True)
    take_all_steps(context)


@then('the move waits at step "{step}"')
def check_step(context, step):
    assert read_rows(context)[2].step == step, read_rows(context)


@when("two controllers take each step from the same rows")
def race_steps(context):
    context.tried = 0
    while True:
        versions, record, move = read_rows(context)
        rows = (
            moves.advance_move(move, record, context.facts)
            if record.move
            else 0
        )
        if not rows:
            return
        context.tried += 1
        assert context.store.transact(versions, moves.row_values(rows))[0]
        second, _ = context.store.transact(versions, moves.row_values(rows))
        context.refused += not second


@then("the table refuses the second controller every time")
def check_step_refused(context):
    assert context.refused == context.tried == 4, context.refused


@then('the host is in pool "{pool}" and no move is in progress')
def check_move_ended(context, pool):
    _, record, _ = read_rows(context)
    assert (record.pool, record.move) == (pool, ""), record


@then("the host was in exactly one pool at every step")
def check_one_pool(context):
    changes = [
        after
        for before, after in zip(
            context.pools, context.pools[1:], strict=False
        )
        if after != before
    ]
    assert changes == ["rings"], context.pools


@given(
    "a wave over {count:d} hosts in {zones:d} zones with budgets {pool:d},"
    " {rack:d} and {zone:d}"
)
def make_wave(context, count, zones, pool, rack, zone):
    context.hosts = make_hosts(count, zones)
    context.budget_by_pool = {"p": manifest.Budget(pool, rack, zone)}
    context.wave = waves.Wave("w", 0.0)


@when("the wave runs")
def run_whole_wave(context):
    context.result = wave_world.run_wave(
        context.hosts, context.budget_by_pool, context.wave
    )


@then("every host was maintained once")
def check_maintained_once(context):
    assert set(context.result.maintenance_count_by_host) == {
        h.name for h in context.hosts
    }
    assert set(context.result.maintenance_count_by_host.values()) == {1}


@then("it took at most {ratio:f} times the fewest rounds")
def check_rounds(context, ratio):
    fewest = waves.rounds_left(
        context.wave, context.hosts, context.budget_by_pool
    )
    taken = context.result.seconds / wave_world.MAINTENANCE_S
    assert taken <= ratio * fewest, (taken, fewest)


@when("{count:d} hosts fail soon after their maintenance")
def fail_maintained(context, count):
    context.wave = waves.with_failures(context.wave, count, 1, 36_000, 800_000)


@when(
    "{others:d} other hosts and {count:d} maintained ones fail in the same"
    " time"
)
def fail_unrelated(context, others, count):
    context.wave = waves.with_failures(
        context.wave, count, others, 36_000, 800_000
    )


@then("the wave is paused and names the failures")
def check_paused(context):
    assert "4 hosts failed" in context.wave.paused, context.wave


@then("no host is stopped until it is resumed")
def check_no_stops(context):
    ledger = budgets.BudgetLedger(context.hosts, context.budget_by_pool)
    assert not waves.choose_stops(context.wave, context.hosts, ledger)
    resumed = waves.resume_wave(context.wave)
    assert waves.choose_stops(resumed, context.hosts, ledger)


@then("the wave isn't paused")
def check_not_paused(context):
    assert not context.wave.paused, context.wave.paused


@when("the wave is half done and is resumed from its row")
def resume_half_done_wave(context):
    half = wave_world.run_wave(
        context.hosts, context.budget_by_pool, context.wave, until=0.5
    )
    context.result = wave_world.run_wave(
        context.hosts, context.budget_by_pool, half.wave
    )
    context.result.maintenance_count_by_host.update(
        half.maintenance_count_by_host
    )


@given(
    'pools "{names}" of {count:d} hosts in {zones:d} zones and a spare pool'
    " of {spare:d}"
)
def make_pools(context, names, count, zones, spare):
    context.names = names.split(",")
    context.hosts = make_hosts(spare, zones, "spare")
    for name in context.names:
        context.hosts += make_hosts(count, zones, name)


def plan_buffers(context, need_by_pool):
    return buffers.plan_buffers(context.hosts, need_by_pool, {}, "spare")


@when("each pool needs {need:d} hosts")
def plan_equal_needs(context, need):
    context.plan = plan_buffers(
        context, dict.fromkeys(context.names, float(need))
    )


@when('pools need "{needs}" hosts')
def plan_needs(context, needs):
    values = [float(need) for need in needs.split(",")]
    context.plan = plan_buffers(
        context, dict(zip(context.names, values, strict=True))
    )


@then("{count:d} spare hosts are kept outside of any one zone")
def check_spare_hosts(context, count):
    # The plan has one more spare host, in the zone that is lost.
    assert context.plan.spare == count + 1, context.plan
    assert min(context.plan.movable_by_zone.values()) >= 0, context.plan


@then("nothing is moved")
def check_no_moves(context):
    assert not context.plan.moves and not context.plan.shortage_by_pool, (
        context.plan
    )


@then("nothing is moved and the spare pool lacks hosts")
def check_spare_shortage(context):
    assert not context.plan.moves, context.plan
    assert set(context.plan.shortage_by_pool) == {"spare"}, context.plan


@then('hosts are moved from "{source}" to "{target}" only')
def check_moves(context, source, target):
    assert context.plan.moves
    assert {move[1:] for move in context.plan.moves} == {(source, target)}


@when(
    "need fluctuates by 1% around {need:d} for {count:d} plans with seed"
    " {seed:d}"
)
def count_moves_for_fluctuating_need(context, need, count, seed):
    context.moved = wave_world.count_moves_for_fluctuating_need(
        context.hosts, context.names, need, count, seed
    )


@then("at most {fraction:f} of the hosts moved")
def check_moved_fraction(context, fraction):
    max_moved = fraction * len(context.hosts)
    assert context.moved <= math.ceil(max_moved), context.moved


@given("an index of {count:d} random workers with seed {seed:d}")
def make_index(context, count, seed):
    context.rng = random.Random(seed)
    context.index = worker_index.WorkerIndex()
    context.free = {}
    for number in range(count):
        change_worker(context, f"w{number}")


def change_worker(context, name):
    rng = context.rng
    context.free[name] = task_models.Need(
        rng.uniform(-2, 30), rng.uniform(0, 130)
    )
    context.index.set_free_capacity(
        name, context.free[name], task_models.Need(30.0, 130.0)
    )


@when("{count:d} random needs and changes are tried")
def search_index(context, count):
    context.wrong = []
    for _ in range(count):
        rng = context.rng
        need = task_models.Need(rng.uniform(0, 32), rng.uniform(0, 135))
        found = context.index.find_best_fit(need)
        fits = any(free.covers(need) for free in context.free.values())
        if (found is not None) != fits or (
            found and not context.free[found].covers(need)
        ):
            context.wrong.append((need, found))
        change_worker(context, rng.choice(list(context.free)))


@then("each result fits, and one is found whenever any worker fits")
def check_index(context):
    assert not context.wrong, context.wrong[:3]


@given('a full worker with tasks of teams "{over}" and "{under}"')
def make_full_worker(context, over, under):
    size = task_models.Need(5.0, 5.0)
    context.running = [
        worker_placement.RunningTask(f"{team}{i}", team, size, False, False)
        for team in (over, under)
        for i in range(3)
    ]


def find_victims(context, cores):
    free = task_models.Need(0.0, 100.0)
    capacity = task_models.Need(30.0, 130.0)
    return worker_placement.choose_victims(
        task_models.Need(cores, 1.0),
        "now",
        {"over": 0.2},
        [("w", free, capacity, context.running)],
    )


@then('an urgent need of {cores:d} cores preempts only tasks of "{team}"')
def check_victims(context, cores, team):
    victims = find_victims(context, cores)
    assert len(victims.task_ids) == 2, victims
    assert all(name.startswith(team) for name in victims.task_ids)


@then("an urgent need of {cores:d} cores finds no victims")
def check_no_victims(context, cores):
    assert find_victims(context, cores) is None


@when("a worker fails {count:d} tasks in a row")
def fail_tasks(context, count):
    context.health = worker_placement.WorkerHealth()
    for number in range(count):
        assert not context.health.quarantined_until
        context.health = worker_placement.health_after_failure(
            context.health, 0.0, f"t{number}"
        )


@then("it gets no tasks for {seconds:d} seconds and then one")
def check_quarantine(context, seconds):
    assert context.health.quarantined_until == seconds
    assert context.health.on_trial


@then("after another failure it gets no tasks for {seconds:d} seconds")
def check_doubled_quarantine(context, seconds):
    again = worker_placement.health_after_failure(
        context.health, 60.0, "trial"
    )
    assert again.quarantined_until - 60.0 == seconds, again


@when("{count:d} tasks declared with {declared:d} cores use {used:d} core")
def add_measurements(context, count, declared, used):
    estimate = task_sizes.SizeEstimate()
    context.declared = task_models.Need(float(declared), 1.0)
    for _ in range(count):
        estimate = task_sizes.add_measurement(
            estimate, task_models.Need(float(used), 1.0), context.declared
        )
    context.estimate = estimate


@then("the next one is planned with less than {cores:f} cores")
def check_planned_size(context, cores):
    planned = task_sizes.expected_need(
        context.estimate, context.declared, None
    )
    assert 1.0 <= planned.cores < cores, planned
