"""Steps about unexpected errors in the steps of a host."""

import json

from behave import given
from behave import then
from behave import when

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import job as job_models
from azurevane._internal.scheduler import leader as leader_module
from azurevane._internal.scheduler import leadership
from azurevane._internal.scheduler import records


def _record_events(context):
    context.events = []

    def record(_, event):
        context.events.append(event)

    catalogue.listeners.append(record)
    context.add_cleanup(catalogue.listeners.remove, record)
    context.previous_leader = context.world.leader_name


def _fail_next(owner, name, count):
    """Let the next calls of a method raise an error."""
    method = getattr(owner, name)
    left = [count]

    def fail_at_first(*arguments, **options):
        if left[0]:
            left[0] -= 1
            raise RuntimeError("unexpected")
        return method(*arguments, **options)

    setattr(owner, name, fail_at_first)


@given("a stored job whose steps depend on one that it doesn't have")
def step_job_without_step(context):
    _record_events(context)
    step = job_models.Step(2, job_models.Capacity(100, 10), 1.0, after=(7,))
    job = job_models.Job(
        id="00000000000000d9",
        queue=context.queue,
        service="press",
        team="north",
        spec="",
        steps=(step,),
        accepted_at=context.world.clock.seconds() + 1e9,
    )
    context.world.platform.store.put(
        records.JOBS_TABLE, job.id, records.encode_job(job)
    )


@given("the next {count:d} calls of the leader's {path} fail")
def step_calls_fail(context, count, path):
    _record_events(context)
    owner = context.world.host_by_name[context.previous_leader].leader
    *owners, name = path.split(".")
    for part in owners:
        owner = getattr(owner, part)
    _fail_next(owner, name, count)


@given("each host fails once to decide whether to take over")
def step_decision_fails(context):
    for host in context.world.host_by_name.values():
        _fail_next(host.candidate._view, "takeover_due", 1)


@then("one job was set aside")
def step_set_aside(context):
    found = [
        event
        for event in context.events
        if isinstance(event, events.JobSetAside)
    ]
    assert len(found) == 1, found


@then("a failed step was logged")
def step_failure_logged(context):
    assert any(
        isinstance(event, events.StepFailed) for event in context.events
    ), "no failed step"


@when('the row "{key}" of the leader becomes {value}')
def step_leader_row(context, key, value):
    world = context.world
    context.previous_leader = world.leader_name
    store = world.platform.store
    row = store.value(leadership.TABLE, "", leadership.LEADER_KEY)
    context.token = json.loads(row)["token"]
    store.put(leadership.TABLE, key, value.encode().replace(rb"\xff", b"\xff"))


@when('the row "{key}" of the leader is deleted')
def step_leader_row_deleted(context, key):
    context.world.platform.store.put(leadership.TABLE, key, None)


@then("no host leads")
def step_no_leader(context):
    assert context.world.leader_name is None, context.world.leader_name


@then("a host leads with a higher token")
def step_higher_token(context):
    world = context.world
    leader = world.host_by_name[world.leader_name].leader
    assert leader.token > context.token, (leader.token, context.token)


@when("for {seconds:g} s no job can be planned")
def step_no_job_planned(context, seconds):
    world = context.world
    planner = world.host_by_name[world.leader_name].leader._planner
    step_request = planner._step_request

    def fail(*arguments):
        raise RuntimeError("unexpected")

    planner._step_request = fail
    world.advance_time(seconds)
    planner._step_request = step_request


@given("the next {count:d} terms fail in {method}")
def step_terms_fail(context, count, method):
    original = getattr(leader_module.Leader, method)
    context.add_cleanup(setattr, leader_module.Leader, method, original)
    _fail_next(leader_module.Leader, method, count)
