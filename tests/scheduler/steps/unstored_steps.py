"""Steps about starts that are sent before the store has them."""

import json

from behave import then
from behave import when

from azurevane._internal.scheduler import leadership
from azurevane._internal.scheduler import records
from support import series_run
from support import site_world

SLOW_RESPONSE_S = 0.15
TASK_CPU = 4000
MAX_WAIT_S = 5.0


def _advance_until(world, condition, seconds):
    end = world.clock.seconds() + seconds
    while not condition() and world.clock.seconds() < end:
        world.advance_time(site_world.STEP_S)
    return condition()


@when('job "{job_id}" of {count:d} tasks is submitted within {seconds:g} s')
def step_submit_within(context, job_id, count, seconds):
    world = context.world
    began_at = world.clock.seconds()
    phase = {
        "count": count,
        "cpu": TASK_CPU,
        "memMb": 100,
        "estimateMs": 1000,
    }
    response = world.submit_job(context.queue, job_id, [phase])
    assert response.status == 200, response
    took_s = world.clock.seconds() - began_at
    assert took_s <= seconds, took_s


@then('{count:d} tasks of job "{job_id}" start within {seconds:g} s')
def step_starts_within(context, count, job_id, seconds):
    world = context.world
    _advance_until(
        world,
        lambda: count and len(world.task_starts(job_id)) >= count,
        seconds,
    )
    starts = world.task_starts(job_id)
    assert len(starts) == count, starts


@when(
    'the leader is killed when {count:d} tasks of job "{job_id}" have started'
)
def step_kill_after_starts(context, count, job_id):
    world = context.world
    assert _advance_until(
        world,
        lambda: len(world.task_starts(job_id)) >= count,
        MAX_WAIT_S,
    ), world.task_starts(job_id)
    world.kill_host(world.leader_name)


@when("the runner of the first task can't be reached from now on")
def step_cut_first_runner(context):
    platform = context.world.platform
    runner_id = context.world.task_starts()[0][2]
    (runner,) = [
        runner
        for runner in platform.runner_by_address.values()
        if runner.id == runner_id
    ]
    runner.reachable = False


@then("the renewal names {count:d} runners")
def step_named_runners(context, count):
    value = context.world.platform.store.value(
        leadership.TABLE, records.LEADER_PARTITION, leadership.RENEWAL_KEY
    )
    named = json.loads(value).get("unstored_runners", [])
    assert len(named) == count, named


@when("all runners lose their tasks, and all entry hosts are killed")
def step_power_lost(context):
    world = context.world
    for runner in list(world.platform.runner_by_address.values()):
        world.platform.restart_runner(runner, restart_s=0.5, entry_lag_s=0.5)
    for name in list(world.host_by_name):
        world.kill_host(name)
    world.advance_time(1.0)
    for number in range(world.host_count):
        world.start_host(f"again-{number}")


@when("the series of leader changes of seed {seed:d} is run with a slow store")
def step_slow_series(context, seed):
    run = series_run.SeriesRun(seed, store_delay_s=SLOW_RESPONSE_S)
    context.problems = run.run()
