"""Steps about tasks that crash their runners."""

import math
import random

from behave import given
from behave import then
from behave import when

from azurevane._internal.events import catalogue
from azurevane._internal.events import crash_events
from azurevane._internal.scheduler import demand
from azurevane._internal.standins import site_runner
from support import site_world

FIRST_JOB = 0xD00


def _crashes_by_task(context):
    """Return how many runners crashed under each task, by its name."""
    count_by_task = {}
    for _, event, _runner, task, _attempt in context.world.platform.record:
        if event == "crashed":
            count_by_task[task] = count_by_task.get(task, 0) + 1
    return count_by_task


def _plan_crashes(context, crashes, after_s):
    """Let some tasks crash their runners, told by job id and index."""
    platform = context.world.platform
    plan_others = platform.plan_task

    def plan(task, attempt):
        job_id, _, rest = task.partition(".")
        if crashes(job_id, int(rest.rpartition(".")[2])):
            return site_runner.TaskPlan(after_s, site_runner.CRASH)
        return plan_others(task, attempt)

    platform.plan_task = plan


@given('task {index:d} of job "{job_id}" crashes its runner after {after:g} s')
def step_crashes(context, index, job_id, after):
    _plan_crashes(context, lambda job, i: (job, i) == (job_id, index), after)


@given('every task of job "{job_id}" crashes its runner after {after:g} s')
def step_all_crash(context, job_id, after):
    _plan_crashes(context, lambda job, index: job == job_id, after)


@given(
    'task 0 of each job that ends in "{end}" crashes its runner after'
    " {after:g} s"
)
def step_each_crashes(context, end, after):
    _plan_crashes(
        context, lambda job, index: job.endswith(end) and not index, after
    )


@given("crashed runners fall silent")
def step_silent(context):
    platform = context.world.platform
    platform.crash_by_task = lambda runner: platform.crash_host(
        runner, down_s=3.0, silent=True
    )


@given("crashed runners come back under their id")
def step_same_id(context):
    platform = context.world.platform
    platform.crash_by_task = lambda runner: platform.crash_host(
        runner, down_s=3.0, same_id=True
    )


@given("crashed runners come back under their id at once")
def step_same_id_at_once(context):
    platform = context.world.platform
    platform.crash_by_task = lambda runner: platform.crash_host(
        runner, down_s=0.1, same_id=True
    )


@given("each crash lasts {down:g} s")
def step_crash_lasts(context, down):
    context.crash_s = down


def _replace_leader(world):
    name = world.leader_name
    if name is not None:
        world.kill_host(name)
        world.start_host(name)


@given("the leader is killed and restarted {after:g} s after each crash")
def step_kill_after_crash(context, after):
    world = context.world
    crash_by_task = world.platform.crash_by_task

    def crash(runner):
        crash_by_task(runner)
        world.clock.callLater(after, _replace_leader, world)

    world.platform.crash_by_task = crash


@given(
    "the leader is killed and restarted {after:g} s after it suspects a task"
)
def step_kill_after_suspicion(context, after):
    world = context.world

    def record(_, event):
        if isinstance(event, crash_events.TaskSuspected):
            world.clock.callLater(after, _replace_leader, world)

    catalogue.listeners.append(record)
    context.add_cleanup(catalogue.listeners.remove, record)


@given("the responses to commands are lost")
def step_responses_lost(context):
    for runner in context.world.platform.runner_by_address.values():
        runner.answers_to_lose = 1000


@given("commands are carried out {delay:g} s late without an answer")
def step_commands_late(context, delay):
    for runner in context.world.platform.runner_by_address.values():
        runner.command_delay_s = delay


@when('a {flag:w} job "{job_id}" of {count:d} tasks is submitted')
def step_submit_kind(context, flag, job_id, count):
    phase = {"count": count, "cpu": 2000, "memMb": 1000, "estimateMs": 1000}
    response = context.world.submit_job(
        context.queue, job_id, [{**phase, flag: True}]
    )
    assert response.status == 200, response


def _busy_runner(context):
    runners = context.world.platform.runner_by_address.values()
    return next(runner for runner in runners if runner.task_by_name)


@when("a busy runner crashes for {down:g} s")
def step_busy_crashes(context, down):
    platform = context.world.platform
    platform.crash_host(_busy_runner(context), down_s=down)


@when("a busy runner is cut off")
def step_busy_cut_off(context):
    _busy_runner(context).reachable = False


@when("the leader is cut off for {seconds:g} s")
def step_cut_off(context, seconds):
    world = context.world
    client = world.client_by_name[world.leader_name]
    client.silent = True
    world.clock.callLater(seconds, setattr, client, "silent", False)


def _submit_while(context, count, seconds, crash_at, crash):
    """Submit jobs evenly over a time in which runners crash."""
    world = context.world
    begin = world.clock.seconds()
    for offset_s in crash_at:
        world.clock.callLater(offset_s, crash)
    phase = {"count": 8, "cpu": 2000, "memMb": 1000, "estimateMs": 1000}
    for number in range(count):
        job_id = f"{number + FIRST_JOB:016x}"
        response = world.submit_job(context.queue, job_id, [phase])
        assert response.status == 200, response
        next_at = begin + (number + 1) * seconds / count
        world.advance_time(max(next_at - world.clock.seconds(), 0.0))


@when(
    "{count:d} jobs are submitted over {seconds:g} s while {share:g} of the"
    " runners crash {rounds:d} times, {gap:g} s apart"
)
def step_plain_crashes(context, count, seconds, share, rounds, gap):
    platform = context.world.platform
    choice = random.Random(rounds)

    def crash():
        alive = [
            runner
            for runner in platform.runner_by_address.values()
            if not runner.crashed
        ]
        number = min(math.ceil(share * 8), len(alive))
        for runner in choice.sample(alive, number):
            platform.crash_host(runner, down_s=context.crash_s)

    crash_at = [0.5 + number * gap for number in range(rounds)]
    _submit_while(context, count, seconds, crash_at, crash)


@when(
    "{count:d} jobs are submitted over {seconds:g} s while a rack loses power"
    " {rounds:d} times, {gap:g} s apart"
)
def step_rack_crashes(context, count, seconds, rounds, gap):
    platform = context.world.platform
    rack = next(iter(platform.runner_by_address.values())).rack

    def crash():
        for runner in list(platform.runner_by_address.values()):
            if runner.rack == rack and not runner.crashed:
                platform.crash_host(
                    runner, down_s=context.crash_s, silent=True
                )

    crash_at = [0.5 + number * gap for number in range(rounds)]
    _submit_while(context, count, seconds, crash_at, crash)


@then(
    'at most {count:d} runners crashed under task {index:d} of job "{job_id}"'
)
def step_crashes_at_most(context, count, index, job_id):
    crashes = _crashes_by_task(context).get(f"{job_id}.0.0.{index}", 0)
    assert 0 < crashes <= count, crashes


@then("no other task crashed with more than {count:d} runners")
def step_bystanders(context, count):
    more = {
        task: crashes
        for task, crashes in _crashes_by_task(context).items()
        if crashes > count and not task.startswith("00000000000000c1")
    }
    assert not more, more


@then("no task is suspected")
def step_none_suspected(context):
    world = context.world
    state = world.host_by_name[world.leader_name].leader.scheduler_state
    assert state.live_job_by_id, "no job is left"
    assert not state.has_suspected_tasks()


@then("no task crashed with more than {count:d} runners")
def step_no_task(context, count):
    more = {
        task: crashes
        for task, crashes in _crashes_by_task(context).items()
        if crashes > count
    }
    assert not more, more


@then("at most {count:d} crashes of runners happened")
def step_crash_count(context, count):
    crashed = {
        entry[2]
        for entry in context.world.platform.record
        if entry[1] == "crashed"
    }
    assert 0 < len(crashed) <= count, crashed


def _states(context, count):
    return {
        job_id: context.world.job_state(context.queue, job_id)
        for job_id in (f"{n + FIRST_JOB:016x}" for n in range(count))
    }


@then('all {count:d} jobs are "{state}"')
def step_all(context, count, state):
    other = {k: v for k, v in _states(context, count).items() if v != state}
    assert not other, other


@then('each of the {count:d} jobs that ends in "{end}" is "{state}"')
def step_some(context, count, end, state):
    states = _states(context, count)
    other = {k: v for k, v in states.items() if k.endswith(end) and v != state}
    assert not other, other


@then('the others of the {count:d} jobs are "{state}"')
def step_others(context, count, state):
    states = _states(context, count)
    other = {
        k: v for k, v in states.items() if not k.endswith("0") and v != state
    }
    assert not other, other


@then('job "{job_id}" is "{state}" at every host')
def step_at_every_host(context, job_id, state):
    states = {
        name: context.world.job_state(context.queue, job_id, host=name)
        for name in context.world.host_by_name
    }
    assert set(states.values()) == {state}, states


@when("{count:d} runners have crashed and the task waits again")
def step_waits_again(context, count):
    world = context.world
    state = world.host_by_name[world.leader_name].leader.scheduler_state
    (job,) = state.live_job_by_id.values()
    while sum(_crashes_by_task(context).values()) < count:
        world.advance_time(site_world.STEP_S)
    while not job.waiting_count:
        world.advance_time(site_world.STEP_S)
    context.scheduler_state = state


@then('the pool "{name}" has no demand for waiting tasks')
def step_no_demand(context, name):
    meter = demand.DemandMeter(context.scheduler_state, 1.5)
    pools = meter.measure([], {}, context.world.clock.seconds())
    (pool,) = [pool for pool in pools if pool.name == name]
    assert pool.waiting.tasks == 0, pool


@when("{count:d} jobs of a task as wide as a runner are submitted")
def step_wide_jobs(context, count):
    context.wide_job_ids = [
        f"{0xE000 + number:016x}" for number in range(count)
    ]
    phase = {"count": 1, "cpu": 28000, "memMb": 1000, "estimateMs": 9000}
    for job_id in context.wide_job_ids:
        response = context.world.submit_job(context.queue, job_id, [phase])
        assert response.status == 200, response


@when('host "{name}" crashes {rounds:d} times for {down:g} s, {gap:g} s apart')
def step_host_crashes(context, name, rounds, down, gap):
    platform = context.world.platform
    for _ in range(rounds):
        runner = platform.host_by_name[name].runner
        if runner is not None:
            platform.crash_host(runner, down_s=down)
        context.world.advance_time(gap)


@then('all {count:d} wide jobs are "{state}"')
def step_wide_states(context, count, state):
    states = [
        context.world.job_state(context.queue, job_id)
        for job_id in context.wide_job_ids
    ]
    assert states == [state] * count, states


@given('host "{name}" is the only one with label "{label}"')
def step_only_host(context, name, label):
    platform = context.world.platform
    host = platform.host_by_name[name]
    host.rack = host.runner.rack = label
    platform.register(host.runner)


@when('job "{job_id}" of {count:d} tasks with label "{label}" is submitted')
def step_submit_labelled(context, job_id, count, label):
    phase = {"count": count, "cpu": 2000, "memMb": 64, "requirements": label}
    response = context.world.submit_job(context.queue, job_id, [phase])
    assert response.status == 200, response
    context.world.advance_time(0.2)
