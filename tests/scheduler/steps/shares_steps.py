"""Steps for the shares of teams in the leader."""

import json

from behave import given
from behave import then
from behave import when

from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import scheduling_settings
from azurevane._internal.scheduler import leadership
from azurevane._internal.scheduler import records
from support import site_world

KEY_BY_TEAM = {"north": site_world.KEY, "south": "key-of-south"}
HOLDING, SOUTH_JOB = "a" * 16, "b" * 16
NORTH_JOB = "c" * 16
RUN_S = 4.0


@given(
    "a site with shares whose pool of {hosts:d} hosts runs {tasks:d} tasks of"
    " {cores:d} cores"
)
def make_site(context, hosts, tasks, cores):
    world = context.world = site_world.SiteWorld()
    world.add_service("render")
    world.add_service("reserve", standby=True)
    world.add_queue("render", "render")
    world.add_machines(hosts, "render")
    world.config["tenants"] = [
        {
            "name": team,
            "apiKeys": [key],
            "weight": 10,
            "cap": {"cpu": 0, "memMb": 0, "gpu": 0},
        }
        for team, key in KEY_BY_TEAM.items()
    ]
    world.put_config()
    context.settings = scheduling_settings.SchedulingSettings(fair_shares=True)
    for number in range(world.host_count):
        world.start_host(f"entry-{number}", scheduling=context.settings)
    world.advance_time(1.0)
    context.tasks, context.cpu = tasks, 1000 * cores
    context.events = []

    def record(_entry, event):
        context.events.append(event)

    catalogue.listeners.append(record)
    context.add_cleanup(catalogue.listeners.remove, record)


def _submit(context, team, job_id, count):
    phase = {
        "count": count,
        "cpu": context.cpu,
        "memMb": 100,
        "estimateMs": RUN_S * 1000,
    }
    response = context.world.send_request(
        "POST",
        f"/render/{job_id}",
        {"spec": "x", "phases": [phase]},
        key=KEY_BY_TEAM[team],
    )
    assert response.status in (200, 201, 202), response


@given('team "{team}" holds the pool for {seconds:g} s')
def hold_pool(context, team, seconds):
    context.world.set_task_plan(seconds, need={"cpu": context.cpu})
    _submit(context, team, HOLDING, context.tasks)
    context.world.advance_time(0.75 * seconds)
    assert len(context.world.task_starts(HOLDING)) == context.tasks


@when('"north" and then "south" submit a job that fills the pool')
def submit_jobs(context):
    _submit(context, "north", NORTH_JOB, context.tasks)
    _submit(context, "south", SOUTH_JOB, context.tasks)


@when("the pool becomes free")
def free_pool(context):
    context.world.advance_time(RUN_S)


@then('the job of "south" starts first')
def check_first(context):
    starts = [
        entry[3][:16]
        for entry in context.world.task_starts()
        if entry[3][:16] != HOLDING
    ]
    assert starts[: context.tasks] == [SOUTH_JOB] * context.tasks, starts


def _logged(context, event_type):
    return [item for item in context.events if isinstance(item, event_type)]


@then('the leader has logged the factors of "north" and "south"')
def check_factors_logged(context):
    logged = _logged(context, events.TeamsCompete)
    assert logged, context.events
    first = logged[0].highest_factors
    assert first.startswith("north=") and " south=" in first, first
    assigned = _logged(context, events.RunAssigned)[-1]
    assert assigned.task.startswith(SOUTH_JOB), assigned
    assert assigned.share_factor < 1.0, assigned


@then("no factors were logged")
def check_none_logged(context):
    assert not _logged(context, events.TeamsCompete)


def _leader(context):
    return context.world.host_by_name[context.world.leader_name].leader


def _account(context, team="north"):
    usage = _leader(context).scheduler_state.usage
    return usage.stored_accounts()[team][0]


@given("the renewals carry accounts of an unknown form")
def spoil_accounts(context):
    encode = leadership._encode_accounts
    leadership._encode_accounts = lambda accounts: leadership.msgspec.Raw(
        b'{"north":{"cpu":1}}'
    )
    context.add_cleanup(setattr, leadership, "_encode_accounts", encode)
    context.world.advance_time(0.7)


@when("the leader is killed and replaced")
def replace_leader(context):
    context.before = _account(context)
    context.world.kill_host(context.world.leader_name)
    context.world.advance_time(1.3)


@then(
    'the new leader\'s account of "north" is at least {part:g} of the old'
    " one's"
)
def check_account_kept(context, part):
    held = context.tasks * context.cpu
    assert context.before < 0.5 * held, (context.before, held)
    got = _account(context)
    assert part * context.before <= got < 0.7 * held, (got, context.before)


@then("its renewals carry it")
def check_renewal(context):
    value = context.world.platform.store.value(
        leadership.TABLE, records.LEADER_PARTITION, leadership.RENEWAL_KEY
    )
    stored = json.loads(value)["usage"]["north"][0]
    assert stored >= 0.7 * context.before, stored


@then('the new leader\'s account of "north" is what its runs hold')
def check_account_of_runs(context):
    held = context.tasks * context.cpu
    got = _account(context)
    assert got >= 0.85 * held, (got, held)


@when('"south" submits a job of one task while half of the pool is free')
def submit_small_job(context):
    context.world.advance_time(RUN_S)
    _submit(context, "south", SOUTH_JOB, context.tasks // 2)
    _submit(context, "north", NORTH_JOB, 1)
    context.world.advance_time(0.5)
