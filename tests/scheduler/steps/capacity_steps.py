"""Steps about capacities of runners that change."""

import random

from behave import given
from behave import then
from behave import when

from azurevane._internal.standins import site_runner
from support import site_world

CAPACITY = {"cpu": 32000, "memMb": 131072, "gpu": 0}
NEED = {"cpu": 2000, "memMb": 1000}
# A runner writes its entry at this interval.
HEARTBEAT_S = 1.5


@given(
    'a site with service "{service}" on {count:d} hosts that don\'t guard'
    " their capacity"
)
def step_site(context, service, count):
    world = site_world.SiteWorld()
    world.add_service(service, constraints=False)
    world.add_queue("fit", service)
    for number in range(count):
        world.platform.add_host(
            f"m-{number:03d}", service, "east", "r0", guards_capacity=False
        )
    world.start()
    context.world, context.queue, context.job_ids = world, "fit", []
    context.choice = random.Random(0)


@given("each task runs {seconds:g} s and takes 2 cores")
def step_tasks(context, seconds):
    context.world.set_task_plan(seconds, need=NEED)


def _runners(context):
    runners = context.world.platform.runner_by_address.values()
    return [runner for runner in runners if not runner.crashed]


def _change(context, runner, share):
    """Change a runner's capacity; its next entry shows it."""
    capacity = {kind: int(share * most) for kind, most in CAPACITY.items()}
    runner.change_capacity(capacity)
    context.world.clock.callLater(
        context.choice.uniform(0.0, HEARTBEAT_S),
        context.world.platform.register,
        runner,
    )


@given("capacities change every {each:g} s with seed {seed:d}")
def step_changes(context, each, seed):
    world = context.world
    context.choice = random.Random(seed)
    random.seed(seed)
    end = world.clock.seconds() + 20.0

    def change():
        if world.clock.seconds() > end:
            for runner in _runners(context):
                _change(context, runner, 1.0)
            return
        share = context.choice.choice((0.0, 0.1, 0.3, 0.6, 1.0))
        _change(context, context.choice.choice(_runners(context)), share)
        world.clock.callLater(each, change)

    change()


@given("nothing else happens")
def step_nothing(context):
    pass


@given("the store's responses come {delay:g} s late")
def step_slow_store(context, delay):
    context.world.platform.store_delay_s = delay


@given("the leader is killed every {each:g} s")
def step_leaders_killed(context, each):
    world = context.world

    def kill(times):
        name = world.leader_name
        if name is not None:
            world.kill_host(name)
            world.start_host(name)
        if times:
            world.clock.callLater(each, kill, times - 1)

    world.clock.callLater(each, kill, 4)


@given("commands are carried out late now and then")
def step_late_commands(context):
    clock = context.world.clock

    def delay(times):
        runner = context.choice.choice(_runners(context))
        runner.command_delay_s = 2.5
        clock.callLater(0.5, setattr, runner, "command_delay_s", 0.0)
        if times:
            clock.callLater(1.0, delay, times - 1)

    clock.callLater(1.0, delay, 17)


@given("the store is down from {begin:g} s to {end:g} s")
def step_store_down(context, begin, end):
    world = context.world
    for at, down in ((begin, True), (end, False)):
        world.clock.callLater(at, setattr, world.platform, "store_down", down)


@when("jobs of {count:d} tasks are submitted every {each:g} s for {time:g} s")
def step_submit(context, count, each, time):
    world = context.world
    end = world.clock.seconds() + time
    phase = {"count": count, "estimateMs": 700, **NEED}
    while world.clock.seconds() < end:
        job_id = f"{len(context.job_ids):016x}"
        response = world.submit_job(context.queue, job_id, [phase])
        if response.status == 200:
            context.job_ids.append(job_id)
        world.advance_time(each)


@when("the capacity of every runner becomes 0")
def step_no_capacity(context):
    for runner in _runners(context):
        _change(context, runner, 0.0)


@when("the capacity of every runner is back")
def step_capacity_back(context):
    for runner in _runners(context):
        _change(context, runner, 1.0)


@then("no start exceeded the capacity of its runner")
def step_none_over(context):
    record = context.world.platform.record
    assert any(entry[1] == "start" for entry in record), "nothing started"
    over = [e for e in record if e[1] == site_runner.OVER_CAPACITY]
    assert not over, (len(over), over[:5])


@then("no task runs")
def step_none_runs(context):
    running = [r.id for r in _runners(context) if r.task_by_name]
    assert not running, running


@then('the submitted jobs are "{state}"')
def step_all(context, state):
    states = [
        context.world.job_state(context.queue, job_id)
        for job_id in context.job_ids
    ]
    other = [each for each in states if each != state]
    assert states and not other, (len(other), len(states), other[:3])
