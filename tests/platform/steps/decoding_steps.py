"""Steps about what the platform writes."""

import json
import pathlib
import tempfile

from behave import given
from behave import then
from behave import when
import msgspec

from azurevane import exceptions
from azurevane._internal.models import site
from azurevane._internal.platform import job_requests
from azurevane._internal.platform import node_settings
from azurevane._internal.platform import runner_calls
from azurevane._internal.platform import runner_rows

_ENTRY = {
    "service": "press",
    "address": "10.128.0.9:8080",
    "zone": "east",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "warmupLeftMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clockMs": 482113,
    "sequence": 4,
    "born": 12500,
}
_SETTINGS = {
    "nodeName": "entry-1",
    "zone": "east",
    "listenAddrs": {
        "frontend": "10.1.0.23:8340",
        "readiness": "10.1.0.23:8343",
    },
    "limits": {"cpuShare": 0.537, "cores": 2, "linkMbps": 1000.0},
    "bounds": {"holdMaxMs": 10000, "status_s": 120},
    "advisor": "10.200.1.9:8344",
    "platform": {"address": "10.200.1.7:8344", "rowBytes": 65536},
    "cloudApi": {"address": "10.200.0.82:8344", "ratePerS": 64.0},
    "somethingNew": [1, 2],
}


@given("the entry of a runner")
def step_entry(context):
    context.entry = dict(_ENTRY)
    context.value = json.dumps(context.entry).encode()


@when('its "{field}" is {value}')
def step_field(context, field, value):
    context.entry[field] = json.loads(value)
    context.value = json.dumps(context.entry).encode()


@when("its bytes are cut")
def step_cut(context):
    context.value = context.value[:40]


@then(
    'it names a runner with {cpu:d} cpu in rack "{rack}" since {seconds:g} s'
)
def step_runner(context, cpu, rack, seconds):
    runner = runner_rows.decode_runner("i-1", context.value)
    assert runner.capacity.cpu == cpu, runner
    assert runner.rack == rack, runner
    assert runner.started_at == seconds, runner
    assert not runner.draining, runner


@then("it names no runner")
def step_no_runner(context):
    try:
        runner = runner_rows.decode_runner("i-1", context.value)
    except msgspec.MsgspecError:
        return
    raise AssertionError(runner)


def _load(settings):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "node.json"
        path.write_text(json.dumps(settings))
        return node_settings.load_settings(path)


@when('settings without "{field}" are read')
def step_settings_without(context, field):
    settings = {key: _SETTINGS[key] for key in _SETTINGS if key != field}
    context.error = None
    try:
        _load(settings)
    except exceptions.SettingsError as error:
        context.error = error


@then('they are refused with "{text}"')
def step_settings_refused(context, text):
    assert context.error is not None
    assert text in str(context.error), context.error


@when("settings as the platform writes them are read")
def step_settings(context):
    context.settings = _load(_SETTINGS)


@then(
    "the host has {processors:g} processors, a lease of {lease:g} s at most"
    " and an advisor"
)
def step_settings_read(context, processors, lease):
    settings = context.settings
    assert abs(settings.processors - processors) < 1e-9, settings
    assert settings.bounds.runner_lease_max_s == lease, settings
    assert str(settings.advisor_address) == "10.200.1.9:8344", settings


_QUEUE = site.Queue("fit", "jobs.example", "/fit/", "press")


def _decode(body):
    return job_requests.decode_job(
        body.encode(), job_id="0" * 16, queue=_QUEUE, team="north", now=1.0
    )


@then("a body {body} is a job of {count:d} tasks")
def step_body_read(context, body, count):
    job = _decode(body)
    assert sum(step.count for step in job.steps) == count, job


@then("a body {body} is refused")
def step_body_refused(context, body):
    try:
        job = _decode(body)
    except exceptions.JobRejected:
        return
    raise AssertionError(job)


@when("a runner lists running {rows}")
def step_running(context, rows):
    context.running = json.loads(rows)


@when("ended {rows}")
def step_ended(context, rows):
    body = json.dumps(
        {
            "clockMs": 1000,
            "running": context.running,
            "finished": json.loads(rows),
        }
    )
    context.report = runner_calls.decode_report(body.encode())


@then("{count:d} run and {ends:d} ends are read, up to number {number:d}")
def step_report(context, count, ends, number):
    report = context.report
    assert len(report.running) == count, report
    assert len(report.ended) == ends, report
    assert report.last_number == number, report
