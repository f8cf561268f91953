"""Steps about a leader whose process has too little processor time."""

import random

from behave import given
from behave import then
from behave import when

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.standins import site_runner
from support import site_world

LEADER = "entry-0"
# It takes over only if the first one ends its term.
OTHER_HOST = "entry-1"


@given(
    "a leader whose callbacks take {cost_ms:g} ms each, and {count:d} runners"
)
def step_late_leader(context, cost_ms, count):
    world = site_world.SiteWorld(host_count=0)
    context.world, context.queue = world, "fit"
    context.events = []

    def record(_, event):
        context.events.append(event)

    catalogue.listeners.append(record)
    context.add_cleanup(catalogue.listeners.remove, record)
    world.add_service("press")
    world.add_queue("fit", "press")
    world.add_machines(count, "press")
    world.put_config()
    world.start_host(LEADER, callback_cost_s=cost_ms / 1000)
    world.advance_time(5.0)
    assert world.leader_name == LEADER
    world.start_host(OTHER_HOST)
    world.advance_time(1.0)


@given("the random numbers of seed {seed:d}")
def step_seed(context, seed):
    random.seed(seed)


@when("{count:d} jobs of {tasks:d} tasks of {run_s:g} s are submitted")
def step_submit(context, count, tasks, run_s):
    world = context.world
    world.platform.plan_task = lambda task, attempt: site_runner.TaskPlan(
        run_s, need={"cpu": 1000}
    )
    context.task_count = count * tasks
    phase = {"count": tasks, "cpu": 1000, "estimateMs": round(run_s * 1000)}
    for number in range(count):
        response = world.submit_job(
            context.queue, f"{number + 0xD00:016x}", [phase], host=OTHER_HOST
        )
        assert response.status == 200, response


def _times(world, event):
    """Return when an event was first recorded, by task."""
    times = {}
    for at, name, _, task, _ in world.platform.record:
        if name == event:
            times.setdefault(task, at)
    return times


@then("every task ended once and its end was acknowledged")
def step_acknowledged(context):
    world = context.world
    assert not world.tasks_run_twice(), world.tasks_run_twice()
    done, seen = _times(world, "done"), _times(world, "seen done")
    assert len(done) == context.task_count, len(done)
    assert len(seen) == len(done), (len(seen), len(done))


@then("each end was acknowledged within {bound_s:g} s")
def step_prompt(context, bound_s):
    done, seen = (
        _times(context.world, "done"),
        _times(context.world, "seen done"),
    )
    longest_s = max(seen[task] - done[task] for task in done)
    assert longest_s <= bound_s, longest_s


def _logged(context, event_type):
    return [item for item in context.events if isinstance(item, event_type)]


@then("it logged that starts were put off, with a limit and their number")
def step_logged_put_off(context):
    put_off = _logged(context, events.StartsPutOff)
    assert put_off
    for item in put_off:
        assert item.services == 1, item
        assert item.limit > 0, item
        assert item.in_progress > 0, item


@then("it logged as often that they no longer were")
def step_logged_resumed(context):
    put_off = _logged(context, events.StartsPutOff)
    resumed = _logged(context, events.StartsResumed)
    assert len(resumed) == len(put_off), (len(put_off), len(resumed))
