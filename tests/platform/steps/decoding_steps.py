"""Steps for decoding rows, settings and messages of the platform."""

import json
import pathlib
import tempfile

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import msgspec
from twisted.internet import defer
from twisted.internet import task as twisted_task
from twisted.python import failure

from azurevane import exceptions
from azurevane._internal.models import host_settings
from azurevane._internal.models import site
from azurevane._internal.platform import advice_calls
from azurevane._internal.platform import host_calls
from azurevane._internal.platform import http_client
from azurevane._internal.platform import job_requests
from azurevane._internal.platform import node_settings
from azurevane._internal.platform import operator_rows
from azurevane._internal.platform import runner_calls
from azurevane._internal.platform import runner_rows
from azurevane._internal.scheduler import leadership
from azurevane._internal.scheduler import records

_RUNNER_ENTRY = {
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


@given("the row of a runner")
def step_runner_row(context):
    context.entry = dict(_RUNNER_ENTRY)
    context.value = json.dumps(context.entry).encode()


@when('its "{field}" is {value}')
def step_set_field(context, field, value):
    context.entry[field] = json.loads(value)
    context.value = json.dumps(context.entry).encode()


@when("its id ends the line of a header")
def step_set_id(context):
    context.runner_id = "i-1\r\nX-Other: 1"


@when("it is truncated")
def step_truncate(context):
    context.value = context.value[:40]


@then(
    'it describes a runner with {cpu:d} cpu in rack "{rack}"'
    " started at {seconds:g} s"
)
def step_check_runner(context, cpu, rack, seconds):
    runner = runner_rows.decode_runner("i-1", context.value)
    assert runner.capacity.cpu == cpu, runner
    assert runner.rack == rack, runner
    assert runner.started_at == seconds, runner
    assert not runner.draining, runner


@then("it is rejected")
def step_row_rejected(context):
    try:
        runner = runner_rows.decode_runner(
            getattr(context, "runner_id", "i-1"), context.value
        )
    except msgspec.MsgspecError:
        return
    raise AssertionError(runner)


def _load_settings(settings):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "node.json"
        path.write_text(json.dumps(settings))
        return node_settings.load_settings(path)


@when('settings without "{field}" are loaded')
def step_settings_without(context, field):
    settings = {key: _SETTINGS[key] for key in _SETTINGS if key != field}
    context.error = None
    try:
        _load_settings(settings)
    except exceptions.SettingsError as error:
        context.error = error


@then('they are rejected with an error that mentions "{text}"')
def step_settings_rejected(context, text):
    assert context.error is not None
    assert text in str(context.error), context.error


@when("settings in the platform's format are loaded")
def step_load_settings(context):
    context.settings = _load_settings(_SETTINGS)


@then(
    "the host has {processors:g} processors, a longest lease of {lease:g} s"
    " and an advisor"
)
def step_check_settings(context, processors, lease):
    settings = context.settings
    assert abs(settings.processors - processors) < 1e-9, settings
    assert settings.bounds.runner_lease_max_s == lease, settings
    assert str(settings.advisor_address) == "10.200.1.9:8344", settings


_QUEUE = site.Queue("fit", "jobs.example", "/fit/", "press")


def _decode_job(body):
    return job_requests.decode_job(
        body.encode(), job_id="0" * 16, queue=_QUEUE, team="north", now=1.0
    )


@then("a body {body} is decoded as a job of {count:d} tasks")
def step_job_decoded(context, body, count):
    job = _decode_job(body)
    assert sum(step.count for step in job.steps) == count, job


@then("a body {body} is rejected")
def step_job_rejected(context, body):
    try:
        job = _decode_job(body)
    except exceptions.JobRejected:
        return
    raise AssertionError(job)


@when("a runner lists running {rows}")
def step_list_running(context, rows):
    context.running = json.loads(rows)


@when("ended {rows}")
def step_list_ended(context, rows):
    body = json.dumps(
        {
            "clockMs": 1000,
            "running": context.running,
            "finished": json.loads(rows),
        }
    )
    context.report = runner_calls.decode_report(body.encode())


@then(
    "{count:d} running and {ended:d} ended tasks are decoded,"
    " up to number {number:d}"
)
def step_check_report(context, count, ended, number):
    report = context.report
    assert len(report.running) == count, report
    assert len(report.ended) == ended, report
    assert report.last_number == number, report


@then("the body {body} is rejected")
def step_body_rejected(context, body):
    if "nested lists" in body:
        nested = "[" * 20000 + "]" * 20000
        body = body.replace("20000 nested lists", nested)
    # Each character stands for one byte; \\xNN for that byte.
    value = body.encode().replace(b"\\xff", b"\xff")
    try:
        job = job_requests.decode_job(
            value, job_id="0" * 16, queue=_QUEUE, team="north", now=1.0
        )
    except exceptions.JobRejected:
        return
    raise AssertionError(job)


# Values of any type, also such as no field has.
_SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(10**20), 10**20)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.sampled_from(("", "done", "0" * 16 + ".0.0.1", "²", "a.b"))
)
_VALUES = strategies.recursive(
    _SCALARS, lambda inner: strategies.lists(inner, max_size=5), max_leaves=8
)


def _fields(*names):
    """Return JSON objects with any values in some of these fields."""
    return strategies.dictionaries(
        strategies.sampled_from(names), _VALUES, max_size=4
    )


_check = hypothesis.settings(
    max_examples=150,
    deadline=None,
    database=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@then("any body is rejected, or its job can be stored and read again")
def step_any_body(context):
    phase = _fields(
        "count", "cpu", "memMb", "gpu", "estimateMs", "after", "targetMs"
    ).map(lambda fields: {"count": 2, **fields})
    body = _fields("spec", "repeats", "startAtMs", "intervalMs", "phases")

    @_check
    @hypothesis.given(body, strategies.lists(phase, min_size=1, max_size=3))
    def check(fields, phases):
        value = json.dumps({"phases": phases, **fields}).encode()
        try:
            job = job_requests.decode_job(
                value, job_id="0" * 16, queue=_QUEUE, team="north", now=1.0
            )
        except exceptions.JobRejected:
            return
        assert records.decode_job(records.encode_job(job)) == job, job
        assert job.task_count <= 2000, job

    check()


@then("any bytes as a row of any table are decoded or rejected")
def step_any_row(context):
    decoders = (
        operator_rows.decode_config,
        lambda value: operator_rows.decode_wave(7, value),
        records.decode_job,
        leadership.decode_pending_jobs,
        lambda value: runner_rows.decode_runner("i-1", value),
    )
    entry = _fields(*_RUNNER_ENTRY).map(lambda some: {**_RUNNER_ENTRY, **some})
    texts = entry.map(lambda value: json.dumps(value).encode())

    @_check
    @hypothesis.given(strategies.binary(max_size=40) | texts)
    @hypothesis.example(b"[" * 20000)
    @hypothesis.example(b'{"service": "\xff"}')
    def check(value):
        for decode in decoders:
            try:
                decode(value)
            except msgspec.MsgspecError:
                continue

    check()


@then("any report of a runner is rejected or has values of the right types")
def step_any_report(context):
    rows = strategies.lists(_VALUES, max_size=3)
    task = "0" * 16 + ".0.0.1"
    running = strategies.tuples(
        strategies.just(task), _VALUES, _VALUES, _VALUES, _VALUES
    )
    ended = strategies.tuples(
        _VALUES, strategies.just(task), _VALUES, _SCALARS, _VALUES
    )

    @_check
    @hypothesis.given(
        strategies.lists(running, max_size=3) | rows,
        strategies.lists(ended, max_size=3) | rows,
    )
    def check(running, ended):
        body = {"clockMs": 5, "running": running, "finished": ended}
        report = runner_calls.decode_report(json.dumps(body).encode())
        assert type(report.last_number) is int
        for item in [*report.running, *report.ended]:
            assert type(item.attempt) is int, item
            assert type(item.checkpoint) is str, item
        for item in report.ended:
            assert type(item.number) is int, item
        for item in report.running:
            assert type(item.percent) is int, item
            assert type(item.load) is float, item
        if len(report.running) < len(running):
            assert not report.complete, report

    check()


class _OneResponse:
    """Client that answers each call with the same body."""

    def __init__(self, body):
        self._body = json.dumps(body).encode()

    async def call(self, *arguments, **options):
        return http_client.Response(200, self._body)


class _Pages:
    """Client that answers each call with the next body or status."""

    def __init__(self, *bodies):
        self._bodies = list(bodies)
        self.paths = []

    async def call(self, address, method, path, **options):
        self.paths.append(path)
        body = self._bodies.pop(0)
        if isinstance(body, int):
            return http_client.Response(body, b"")
        return http_client.Response(200, json.dumps(body).encode())


def _list_hosts(*bodies, waits_s=0.0):
    clock = twisted_task.Clock()
    pages = _Pages(*bodies)
    calls = host_calls.HostCalls(
        pages, host_settings.Address("10.0.0.1", 80), "entry-1", 1, clock
    )
    listing = defer.ensureDeferred(calls.list_hosts())
    clock.advance(waits_s)
    assert listing.called, "the call waits"
    results = []
    listing.addBoth(results.append)
    if isinstance(results[0], failure.Failure):
        results[0].raiseException()
    return results[0], pages.paths


@then("a list of hosts whose second page names the first one fails")
def step_list_loop(context):
    pages = [{"machines": [], "nextToken": name} for name in ("b", "a", "b")]
    try:
        hosts, _ = _list_hosts(*pages)
    except exceptions.CallFailed:
        return
    raise AssertionError(hosts)


@then("a host that is up on page 1 and moving on page 2 is listed as moving")
def step_host_on_two_pages(context):
    row = {"machine": "m-1", "pool": "press", "state": "up", "id": "i-1"}
    moving = {**row, "state": "moving", "id": None}
    (host,), _ = _list_hosts(
        {"machines": [row], "nextToken": "b"}, {"machines": [moving]}
    )
    assert host.state is site.HostState.MOVING, host


@then("a page that is rejected with {status:d} is read again after a pause")
def step_rejected_page(context, status):
    row = {"machine": "m-1", "pool": "press", "state": "up", "id": "i-1"}
    hosts, paths = _list_hosts(
        {"machines": [row], "nextToken": "b"},
        status,
        {"machines": [{**row, "machine": "m-2"}]},
        waits_s=host_calls.PAGE_RETRY_DELAY_S,
    )
    assert [host.name for host in hosts] == ["m-1", "m-2"], hosts
    assert len(paths) == 3 and paths[1] == paths[2] != paths[0], paths


@then("a queue with advisor {advisor} has the times {times}")
def step_advisor_times(context, advisor, times):
    route = {
        "name": "fit",
        "host": "jobs.example",
        "pathPrefix": "/fit/",
        "service": "press",
        "advisor": json.loads(advisor),
    }
    config = {"version": 1, "routes": [route]}
    value = json.dumps(config).encode()
    queue = operator_rows.decode_config(value).queue_by_name["fit"]
    assert queue.advised
    assert queue.advisor_times == site.AdvisorTimes(*json.loads(times)), queue


@then("advice {rows} allows i-1 and i-4")
def step_advice(context, rows):
    client = _OneResponse({"good": json.loads(rows), "validMs": 5})
    calls = advice_calls.AdviceCalls(
        client, host_settings.Address("10.0.0.1", 80)
    )
    request = calls.request_advice("step", ["i-1"], timeout_s=1.0)
    try:
        request.send(None)
    except StopIteration as stop:
        assert stop.value.ticket_by_runner == {"i-1": "a", "i-4": "d"}


@then("any settings of a host are loaded, or rejected as invalid")
def step_any_settings(context):
    nested = strategies.dictionaries(
        strategies.sampled_from(("graceS", "address", "frontend", "cores")),
        _VALUES,
        max_size=3,
    )
    fields = strategies.dictionaries(
        strategies.sampled_from((*_SETTINGS, "internalPorts", "ip")),
        _VALUES | nested,
        max_size=3,
    )

    @_check
    @hypothesis.given(fields)
    def check(fields):
        try:
            _load_settings({**_SETTINGS, **fields})
        except exceptions.SettingsError:
            return

    check()
