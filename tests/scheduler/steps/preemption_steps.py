"""Steps for preemption in the leader."""

from behave import given
from behave import then
from behave import when

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import scheduling_settings
from azurevane._internal.standins import site_runner
from support import site_world

FULL_JOB, URGENT_JOB = "a" * 16, "b" * 16
LONG_S = 60.0
LASTING_S = 1e6
CPU = 8000


@given(
    "a site with preemption whose pool of {hosts:d} hosts is full of {tasks:d}"
    " tasks of priority 1"
)
def make_site(context, hosts, tasks):
    context.preempted = []

    def record(_entry, event):
        if isinstance(event, events.RunPreempted):
            context.preempted.append(event)

    catalogue.listeners.append(record)
    context.add_cleanup(catalogue.listeners.remove, record)
    context.hosts, context.tasks = hosts, tasks
    _start_site(context, preemption=True)


def _start_site(context, *, preemption):
    world = context.world = site_world.SiteWorld()
    world.add_service("render")
    world.add_service("reserve", standby=True)
    world.add_queue("urgent", "render", priority=0)
    world.add_queue("later", "render", priority=1)
    world.add_machines(context.hosts, "render")
    world.put_config()
    settings = scheduling_settings.SchedulingSettings(preemption=preemption)
    for number in range(world.host_count):
        world.start_host(f"entry-{number}", scheduling=settings)
    world.advance_time(1.0)
    world.platform.plan_task = lambda task, _: site_runner.TaskPlan(
        LASTING_S if task.startswith(URGENT_JOB) else LONG_S,
        "done",
        {"cpu": CPU, "memMb": 100},
    )
    phase = {"count": context.tasks, "cpu": CPU, "memMb": 100}
    phase["estimateMs"] = LONG_S * 1000
    response = world.submit_job("later", FULL_JOB, [phase])
    assert response.status in (200, 201, 202), response
    world.advance_time(1.0)
    assert len(world.task_starts(FULL_JOB)) == context.tasks


@given("preemption is off")
def restart_without(context):
    _start_site(context, preemption=False)


@when("a long-running task of priority {priority:d} is submitted")
def submit_urgent(context, priority):
    world = context.world
    phase = {"count": 1, "cpu": CPU, "memMb": 100, "longRunning": True}
    queue = "later" if priority else "urgent"
    response = world.submit_job(queue, URGENT_JOB, [phase])
    assert response.status in (200, 201, 202), response


@when("a task of 1 s of priority 0 is submitted")
def submit_short(context):
    phase = {"count": 1, "cpu": CPU, "memMb": 100, "estimateMs": 1000}
    response = context.world.submit_job("urgent", URGENT_JOB, [phase])
    assert response.status in (200, 201, 202), response


def _advance_until(context, condition, seconds):
    end = context.world.clock.seconds() + seconds
    while not condition() and context.world.clock.seconds() < end:
        context.world.advance_time(context.world.step_s)
    assert condition()


@when("the leader is killed as soon as it has decided to stop a run for it")
def kill_leader(context):
    _advance_until(context, lambda: context.preempted, 4.0)
    assert not context.world.task_starts(URGENT_JOB)
    context.world.kill_host(context.world.leader_name)


@when("the leader is killed as soon as a runner has stopped a run for it")
def kill_leader_after_stop(context):
    def stopped():
        victims = [event.task for event in context.preempted]
        return any(
            entry[1] != "start" and entry[3] in victims
            for entry in context.world.platform.record
        )

    _advance_until(context, stopped, 4.0)
    assert not context.world.task_starts(URGENT_JOB)
    context.world.kill_host(context.world.leader_name)


@when("the runner is unreachable as soon as a run was stopped for it")
def cut_runner(context):
    _advance_until(context, lambda: context.preempted, 4.0)
    runner_id = context.runner_id = context.preempted[0].runner
    for host in context.world.platform.host_by_name.values():
        if host.runner is not None and host.runner.id == runner_id:
            host.runner.reachable = False


@then("nothing starts on that runner while it is unreachable")
def check_nothing_starts(context):
    before = len(context.world.task_starts())
    context.world.advance_time(4.0)
    starts = context.world.task_starts()[before:]
    assert not [entry for entry in starts if entry[2] == context.runner_id]
    assert not context.world.task_starts(URGENT_JOB)


@then("it runs within {seconds:g} s, after one run was stopped for it")
def check_runs(context, seconds):
    world = context.world
    _advance_until(context, lambda: world.task_starts(URGENT_JOB), seconds)
    # A leader that didn't know of the stop may have decided it anew.
    tasks = {event.task for event in context.preempted}
    assert len(tasks) == 1, context.preempted
    victim = context.preempted[0]
    assert victim.task.startswith(FULL_JOB), victim
    assert victim.for_task.startswith(URGENT_JOB), victim


@then("the stopped task starts again and no task ran twice")
def check_started_again(context):
    world, victim = context.world, context.preempted[0].task
    world.add_machines(1, "render")
    _advance_until(
        context,
        lambda: sum(entry[3] == victim for entry in world.task_starts()) == 2,
        10.0,
    )
    assert not world.tasks_run_twice()


@then("it doesn't run within {seconds:g} s")
def check_doesnt_run(context, seconds):
    context.world.advance_time(seconds)
    assert not context.world.task_starts(URGENT_JOB)
    assert not context.preempted
