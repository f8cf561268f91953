"""Steps about hosts that are fetched before busy periods."""

import collections

from behave import given
from behave import then
from behave import when

from azurevane._internal.models import scheduling_settings
from support import site_world

QUEUES = {"fit": "press", "ring": "rings"}
# Jobs a second while a queue is busy.
RATE = 10
OBJECTIVE_S = 1.6 * 0.6 + 0.6


@given("a site that foresees busy periods, with {count:d} hosts on standby")
def step_site(context, count):
    world = context.world = site_world.SiteWorld()
    for queue, service in QUEUES.items():
        world.add_service(service)
        world.add_queue(queue, service)
    world.add_service("reserve", standby=True)
    world.add_machines(count, "reserve")
    world.set_task_plan(0.6)
    world.put_config()
    settings = scheduling_settings.SchedulingSettings(forecast=True)
    for number in range(world.host_count):
        world.start_host(f"entry-{number}", scheduling=settings)
    world.advance_time(6.0)
    context.job_ids = []


def _keep_busy(context, queue, seconds):
    phase = {"count": 8, "cpu": 6000, "memMb": 1000, "estimateMs": 600}
    context.job_ids = []
    context.queue = queue
    started_at = context.world.clock.seconds()
    for number in range(round(seconds * RATE)):
        job_id = f"{context.world.clock.seconds() * 1000:016.0f}"
        hosts = sorted(context.world.host_by_name)
        response = context.world.submit_job(
            queue, job_id, [phase], host=hosts[number % len(hosts)]
        )
        assert response.status == 200, response
        context.job_ids.append((job_id, context.world.clock.seconds()))
        due = started_at + (number + 1) / RATE
        context.world.advance_time(max(due - context.world.clock.seconds(), 0))


@given("queues that were busy in turn for {seconds:g} s, three times")
def step_turns(context, seconds):
    for queue in ("fit", "ring", "fit"):
        context.turn_began_at = context.world.clock.seconds()
        # The rest of the last turn is for the scenario.
        share = 0.6 if len(context.job_ids) and queue == "fit" else 1.0
        _keep_busy(context, queue, seconds * share)


@when('queue "{queue}" is busy for {seconds:g} s')
def step_busy(context, queue, seconds):
    _keep_busy(context, queue, seconds)


@when("the platform refuses moves for {seconds:g} s")
def step_refuse_moves(context, seconds):
    platform = context.world.platform
    platform.host_commands_refused = True
    context.world.clock.callLater(
        seconds, setattr, platform, "host_commands_refused", False
    )


@then("{share:g} of its jobs end in time")
def step_in_time(context, share):
    context.world.advance_time(2.0)
    ended_at = collections.defaultdict(float)
    for at, event, _, task, _ in context.world.platform.record:
        if event == "done":
            job_id = task.split(".", 1)[0]
            ended_at[job_id] = max(ended_at[job_id], at)
    in_time = [
        job_id
        for job_id, arrived_at in context.job_ids
        if 0 < ended_at[job_id] <= arrived_at + OBJECTIVE_S
    ]
    assert len(in_time) >= share * len(context.job_ids), len(in_time)


@then("no host was ordered to move twice within {seconds:g} s")
def step_moved_once(context, seconds):
    moved_at = {}
    for at, command, name, _, _ in context.world.platform.host_commands:
        if command == "move":
            assert at - moved_at.get(name, 0.0) >= seconds, (at, name)
            moved_at[name] = at
