"""Steps about hosts that restart or miss changes of the operators."""

import base64
import json

from behave import given
from behave import then
from behave import when

from azurevane._internal.models import job as job_models
from azurevane._internal.scheduler import records
from support import site_world

OLD_KEY = site_world.KEY
NEW_KEY = "another-key-of-north"
PHASE = {"count": 1, "cpu": 100, "memMb": 10, "estimateMs": 500}


@given('zone "{zone}" is taken out')
def step_zone_out(context, zone):
    context.world.platform.store.put("op", f"evacuate/{zone}", b"{}")


@given(
    "a host that reads the operators' rows {seconds:g} s after it has started"
)
def step_late_reader(context, seconds):
    world = context.world
    platform = world.platform
    handle = platform.handle_request
    readable_at = world.clock.seconds() + seconds + 2.0

    def handle_late(entry_host, request):
        of_operators = request.query.get("table") == "op"
        early = world.clock.seconds() < readable_at
        if entry_host == "entry-7" and of_operators and early:
            return None
        return handle(entry_host, request)

    platform.handle_request = handle_late
    world.start_host("entry-7")
    world.advance_time(2.0)


@when("all other hosts are killed")
def step_kill_others(context):
    world = context.world
    for name in list(world.host_by_name):
        if name != "entry-7":
            world.kill_host(name)


@when('job "{job_id}" of {count:d} tasks is stored')
def step_store_job(context, job_id, count):
    """Store a submission as another host did before it was killed."""
    world = context.world
    step = job_models.Step(count, job_models.Capacity(2000, 100), 0.5)
    job = job_models.Job(
        id=job_id,
        queue=context.queue,
        service="press",
        team="north",
        spec="",
        steps=(step,),
        accepted_at=world.clock.seconds() + 1e9,
    )
    world.platform.store.handle_request(
        "POST",
        "/azurevane/rows-tx",
        {},
        {
            "expectedRev": [],
            "setKeys": [_job_row(job)],
            "delete": [],
        },
    )


def _job_row(job):
    return {
        "table": records.JOBS_TABLE,
        "part": records.job_partition(job.id),
        "key": job.id,
        "value": _base64(records.encode_job(job)),
    }


def _base64(value):
    return base64.b64encode(value).decode()


@then('no task of job "{job_id}" ran in zone "{zone}"')
def step_no_run_in_zone(context, job_id, zone):
    world = context.world
    zone_by_runner = {
        runner.id: runner.entry()["zone"]
        for runner in world.platform.runner_by_address.values()
    }
    starts = world.task_starts(job_id)
    assert starts, "no task started"
    zones = {zone_by_runner[entry[2]] for entry in starts}
    assert zone not in zones, zones


@given('host "{name}" is cut off from the store')
def step_cut_off(context, name):
    context.world.platform.store_silent_for.add(name)


@when('host "{name}" reaches the store again and {seconds:g} s pass')
def step_reach_again(context, name, seconds):
    context.world.platform.store_silent_for.discard(name)
    context.world.advance_time(seconds)


def _replace_key(context, *, malformed=False):
    world = context.world
    context.old_config = json.dumps(world.config).encode()
    world.config["version"] += 1
    world.config["tenants"][0]["apiKeys"] = [NEW_KEY]
    config = world.config
    if malformed:
        config = {
            **config,
            "tenants": [{"name": 7}, None, *config["tenants"]],
            "routes": [{"name": "x", "attempts": "y"}, *config["routes"]],
        }
    world.platform.store.put("op", "config", json.dumps(config).encode())


@when('the key of team "north" is replaced')
def step_replace_key(context):
    _replace_key(context)


@when('the key of team "north" is replaced, beside malformed entries')
def step_replace_key_malformed(context):
    _replace_key(context, malformed=True)


@when("the configuration before that is stored again")
def step_old_config(context):
    context.world.platform.store.put("op", "config", context.old_config)


@when("the store drops its history")
def step_drop_history(context):
    context.world.platform.store.compact_history()


def _submit(context, name, key, job_id):
    body = {"spec": "x", "phases": [PHASE]}
    return context.world.send_request(
        "POST", f"/{context.queue}/{job_id}", body, host=name, key=key
    )


@then('host "{name}" accepts the old key for at most {seconds:g} s')
def step_accepts_for(context, name, seconds):
    world = context.world
    began_at = world.clock.seconds()
    number = 0
    while world.clock.seconds() < began_at + seconds + 2.0:
        sent_at = world.clock.seconds()
        number += 1
        response = _submit(context, name, OLD_KEY, f"{number:016x}")
        assert response.status != 200, response
        if sent_at > began_at + seconds:
            assert response.status == 503, response
        world.advance_time(0.1)


@then('host "{name}" refuses the old key with {status:d}')
def step_refuses(context, name, status):
    response = _submit(context, name, OLD_KEY, "f" * 16)
    assert response.status == status, response


@then('host "{name}" accepts the new key')
def step_accepts(context, name):
    response = _submit(context, name, NEW_KEY, "e" * 16)
    assert response.status == 200, response


@given("a runner without tasks leaves and another gets its address")
def step_runner_leaves(context):
    platform = context.world.platform
    host = next(iter(platform.host_by_name.values()))
    runner = host.runner
    context.left_runner = runner
    context.left_entry = json.dumps(runner.entry()).encode()
    runner.crash()
    platform.unregister(runner)
    allocate = platform.allocate_address
    platform.allocate_address = lambda: runner.address
    platform.add_runner(host)
    platform.allocate_address = allocate
    context.world.advance_time(0.5)


@when("its entry appears in the store again")
def step_entry_again(context):
    context.world.platform.store.put(
        "servers", context.left_runner.id, context.left_entry
    )


@then("the runner that left got no start")
def step_no_start(context):
    starts = [
        entry
        for entry in context.world.task_starts()
        if entry[2] == context.left_runner.id
    ]
    assert not starts, starts
