from behave import given
from behave import then
from behave import when

from support import lease_world


@given('control daemons "{names}" and pools "{pools}" with seed {seed:d}')
def make_world(context, names, pools, seed):
    context.make_world = lambda number: lease_world.LeaseWorld(
        number, names.split(","), pools.split(",")
    )
    context.world = context.make_world(seed)


@when("{seconds:d} seconds pass")
def pass_time(context, seconds):
    context.world.advance(seconds, check=context.world.check)


def only_holder(world):
    names = {name for pool in world.pools for name, _ in world.holders(pool)}
    assert len(names) == 1, names
    return names.pop()


def epochs(world):
    return {pool: world.holders(pool)[0][1].epoch for pool in world.pools}


@when("the holder is killed")
def kill_holder(context):
    context.previous_holder = only_holder(context.world)
    context.world.daemons[context.previous_holder].clock.killed = True


@then("another daemon holds every pool within {seconds:f} seconds")
def check_takeover(context, seconds):
    world = context.world
    world.advance(seconds, check=world.check)
    assert only_holder(world) != context.previous_holder
    assert all(len(world.holders(pool)) == 1 for pool in world.pools)
    assert not world.violations, world.violations


@when("the holder is paused for {seconds:d} seconds")
def pause_holder(context, seconds):
    world = context.world
    context.previous_holder = only_holder(world)
    context.previous_epochs = epochs(world)
    world.daemons[context.previous_holder].clock.pause()
    world.advance(seconds, check=world.check)


@then("the old holder may not act on any pool when it resumes")
def check_resumed(context):
    daemon = context.world.daemons[context.previous_holder]
    daemon.clock.paused = False
    for pool in context.world.pools:
        held = daemon.held(pool)
        assert held is None, held
    daemon.clock.resume()
    context.world.advance(2, check=context.world.check)


@then("every pool has one holder and a higher epoch")
def check_epochs(context):
    world = context.world
    only_holder(world)
    before = getattr(context, "previous_epochs", {})
    for pool, epoch in epochs(world).items():
        assert epoch > before.get(pool, 0), (pool, epoch, before)
    assert not world.violations, world.violations


@when("the store is down for {seconds:d} seconds")
def store_down(context, seconds):
    world = context.world
    context.previous_holder = only_holder(world)
    context.idle_s = 0.0
    world.faults.down = True

    def check():
        world.check()
        if not all(world.holders(pool) for pool in world.pools):
            context.idle_s += 0.05

    world.advance(seconds, check=check)
    world.faults.down = False


@then("the holder may act for all but {seconds:d} second of the outage")
def check_outage(context, seconds):
    assert context.idle_s <= seconds, context.idle_s


@then(
    "the same daemon holds every pool {seconds:d} seconds after the store"
    " is back"
)
def check_same(context, seconds):
    context.world.advance(seconds, check=context.world.check)
    assert only_holder(context.world) == context.previous_holder
    assert not context.world.violations, context.world.violations


@when("every write answer is lost for {seconds:d} seconds")
def lose_answers(context, seconds):
    context.world.faults.lost_answer_rate = 1.0
    context.world.advance(seconds, check=context.world.check)
    context.world.faults.lost_answer_rate = 0.0


@when(
    "random kills, pauses, outages and lost answers run for {seconds:d}"
    " seconds with seed {seed:d}"
)
def run_faults(context, seconds, seed):
    context.world = context.make_world(seed)
    context.world.run_faults(seconds)


@then("no lease had two holders")
def check_violations(context):
    assert not context.world.violations, context.world.violations[:5]
