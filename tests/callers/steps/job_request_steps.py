"""Steps about requests of any form about jobs, without a network."""

import re
import tempfile

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
from twisted.internet import task
from twisted.internet import testing

from azurevane._internal.callers import job_handler
from azurevane._internal.callers import job_resource

_HEAD = b"POST /fit/1 HTTP/1.1\r\nHost: jobs.example\r\n"
_LIMIT = 262144


class _Handler:
    """Answers as a host does that accepts bodies up to a limit."""

    async def handle(self, request):
        status = 413 if len(request.body) > _LIMIT else 200
        return job_handler.JobResponse(status)


class _Connection:
    def __init__(self, factory):
        self.transport = testing.StringTransport()
        self.channel = factory.buildProtocol(None)
        self.channel.callLater = task.Clock().callLater
        self.channel.makeConnection(self.transport)

    def send(self, data):
        self.channel.dataReceived(data)

    @property
    def statuses(self):
        found = re.findall(rb"HTTP/1\.[01] (\d+)", self.transport.value())
        return [int(status) for status in found]


def _new_connection(context):
    return _Connection(context.factory)


@given("a host that answers each request about a job with 200")
def step_host(context):
    resource = job_resource.JobResource(_Handler(), lambda: False)
    context.factory = job_resource.NoAccessLogSite(resource, 15.0)
    context.files = []
    original = tempfile.TemporaryFile

    def record(*arguments, **options):
        context.files.append(arguments)
        return original(*arguments, **options)

    tempfile.TemporaryFile = record
    context.add_cleanup(setattr, tempfile, "TemporaryFile", original)


def _body(size, *, chunked):
    if not chunked:
        yield _HEAD + b"Content-Length: %d\r\n\r\n" % size
    else:
        yield _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    for first in range(0, size, 60000):
        part = b"x" * min(60000, size - first)
        yield b"%x\r\n%s\r\n" % (len(part), part) if chunked else part
    if chunked:
        yield b"0\r\n\r\n"


def _send_body(context, size, chunked):
    for part in _body(size, chunked=chunked):
        if context.connection.transport.disconnecting:
            return
        context.connection.send(part)


@when("a job caller sends a body of {size:d} bytes")
def step_body(context, size):
    context.connection = _new_connection(context)
    _send_body(context, size, False)


@when("a job caller sends a body of {size:d} bytes in chunks")
def step_chunked_body(context, size):
    context.connection = _new_connection(context)
    _send_body(context, size, True)


def _send(context, data):
    context.connection = _new_connection(context)
    context.connection.send(data)


@when("a job caller sends a form of {count:d} fields")
def step_form(context, count):
    body = b"&".join(b"f%d=%%ff" % number for number in range(count))
    head = b"Content-Type: application/x-www-form-urlencoded\r\n"
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    _send(context, _HEAD + head + length + body)


@when("a job caller sends a multipart body without parts")
def step_multipart(context):
    head = b"Content-Type: multipart/form-data; boundary=a\r\n"
    _send(context, _HEAD + head + b"Content-Length: 3\r\n\r\n--b")


def _bytes(text):
    return text.encode().replace(rb"\xff", b"\xff").replace(rb"\xfe", b"\xfe")


@when('a job caller sends header "{text}"')
def step_header(context, text):
    _send(context, _HEAD + _bytes(text) + b"\r\n\r\n")


@when('a job caller sends the path "{text}"')
def step_path(context, text):
    _send(context, b"GET " + _bytes(text) + b" HTTP/1.1\r\nHost: a\r\n\r\n")


@when("a job caller sends a request line without a version")
def step_short_line(context):
    _send(context, b"GET /fit/1\r\n\r\n")


@when("a job caller sends {count:d} headers")
def step_headers(context, count):
    _send(context, _HEAD + b"a: b\r\n" * count + b"\r\n")


@when("a job caller sends a header of {size:d} bytes")
def step_long_header(context, size):
    _send(context, _HEAD + b"a: " + b"b" * size + b"\r\n\r\n")


@when("a job caller sends a chunk of negative length")
def step_negative_chunk(context):
    _send(context, _HEAD + b"Transfer-Encoding: chunked\r\n\r\n-5\r\nx\r\n")


@when("a job caller sends {count:d} requests at once")
def step_pipelined(context, count):
    _send(context, b"GET /fit/1 HTTP/1.1\r\nHost: a\r\n\r\n" * count)
    context.count = count


@then("{count:d} responses have arrived")
def step_responses(context, count):
    assert context.connection.statuses == [200] * count


@then("the job caller gets {outcome}")
def step_outcome(context, outcome):
    connection = context.connection
    if outcome in ("closed", "none"):
        closed = connection.transport.disconnecting
        assert closed == (outcome == "closed"), closed
        assert not connection.statuses, connection.statuses
        return
    assert connection.statuses == [int(outcome)], connection.statuses


@then("the next job caller gets 200")
def step_next_caller(context):
    connection = _new_connection(context)
    connection.send(b"GET /fit/1 HTTP/1.1\r\nHost: a\r\n\r\n")
    assert connection.statuses == [200], connection.statuses


@then("no temporary file was opened")
def step_no_file(context):
    assert not context.files, context.files


@then(
    "any bytes as a request end with a response, a closed connection or a wait"
)
def step_any_bytes(context):
    parts = strategies.sampled_from(
        (b"GET ", b"POST ", b"/fit/1", b" HTTP/1.1", b"\r\n", b"\r\n\r\n")
        + (b"Host: a", b"Content-Length: ", b"5", b"Transfer-Encoding: ")
        + (b"chunked", b"\xff", b"\x00", b":", b" ", b"%zz")
    )

    @hypothesis.settings(
        max_examples=300, deadline=None, database=None, derandomize=True
    )
    @hypothesis.given(strategies.lists(parts, max_size=20))
    def check(parts):
        connection = _new_connection(context)
        # An error would end the connection, as the reactor closes it then.
        connection.send(b"".join(parts))

    check()
    step_next_caller(context)
