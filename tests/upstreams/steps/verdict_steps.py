import functools
import pathlib
import re
import socket
import time

from behave import given
from behave import then
from behave import when
from returns import pipeline
from twisted.internet import defer
from twisted.internet import reactor
from twisted.web import http_headers

from azurevane._internal.models import manifest
from azurevane._internal.upstreams import answers
from azurevane._internal.upstreams import client
from azurevane._internal.upstreams import verdicts
from support import raw_runner
from support import reactor_thread

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CLOSING_ANSWER_BY_BEHAVIOUR = {
    "503 with the not-run header": raw_runner.NOT_RUN_RESPONSE,
    "plain 503": raw_runner.BUSY_RESPONSE,
    "close before the answer": b"",
    "half a head": b"HTTP/1.1 200 OK\r\nContent-Le",
    "half a body": HEAD + b"Content-Length: 4\r\n\r\nmi",
    "chunks without an end": CHUNKED + b"4\r\nmine\r\n",
    "malformed chunk": CHUNKED + b"zz\r\nmine\r\n",
    "malformed head": b"good morning\r\n\r\n",
    "body without a length": HEAD + b"\r\nmine",
    "HTTP/1.0 answer": b"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nmine",
    "answer, then close": raw_runner.OK_RESPONSE,
    "extra bytes after the answer": raw_runner.OK_RESPONSE + b"theirs",
}
KEPT_OPEN_ANSWER_BY_BEHAVIOUR = {
    "silence": b"",
    "silence inside the body": HEAD + b"Content-Length: 4\r\n\r\nmi",
    "good answer": raw_runner.OK_RESPONSE,
    "answer after 100": b"HTTP/1.1 100 Continue\r\n\r\n"
    + raw_runner.OK_RESPONSE,
}


class Body:
    """An IBodyProducer of ten bytes that may end prematurely."""

    length = 10

    def __init__(self, sent):
        self._sent = sent

    def startProducing(self, consumer):
        if self._sent:
            consumer.write(b"0123456789"[: self._sent])
        if self._sent == self.length:
            return defer.succeed(None)
        if not self._sent:
            return defer.Deferred()
        return defer.fail(ConnectionError("the caller has left"))

    def pauseProducing(self):
        pass

    def resumeProducing(self):
        pass

    def stopProducing(self):
        pass


def answer_and_close(behaviour, runner, connection):
    head = runner.next_request(connection)
    sent = CLOSING_ANSWER_BY_BEHAVIOUR[behaviour]
    if b"mine" in sent:
        sent = raw_runner.echo_request_tag(head, sent)
    connection.sendall(sent)
    connection.shutdown(socket.SHUT_WR)
    connection.recv(65536)


def answer_and_keep_open(behaviour, runner, connection):
    while head := runner.next_request(connection):
        first, mark, last = KEPT_OPEN_ANSWER_BY_BEHAVIOUR[
            behaviour
        ].rpartition(HEAD)
        connection.sendall(
            first
            + (raw_runner.echo_request_tag(head, mark + last) if mark else b"")
        )


def reset_after_request(behaviour, runner, connection):
    runner.next_request(connection)
    if behaviour == "reset inside the body":
        connection.sendall(CLOSING_ANSWER_BY_BEHAVIOUR["half a body"])
    time.sleep(0.05)
    raw_runner.reset_connection(connection)


def send_late_extra_bytes(_, runner, connection):
    while head := runner.next_request(connection):
        connection.sendall(
            raw_runner.echo_request_tag(head, raw_runner.OK_RESPONSE)
        )
        time.sleep(0.05)
        connection.sendall(b"HTTP/1.1 200 OK\r\n")


def misbehave_on_reuse(behaviour, runner, connection):
    head = runner.next_request(connection)
    connection.sendall(
        raw_runner.echo_request_tag(head, raw_runner.OK_RESPONSE)
    )
    runner.next_request(connection)
    if behaviour == "408 on reuse":
        connection.sendall(b"HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n")
    else:
        raw_runner.reset_connection(connection)


def answer_with_other_tag(behaviour, runner, connection):
    while head := runner.next_request(connection):
        if behaviour == "the tag of another request":
            head = b"\r\nAzurevane-Request: other\r\n"
            connection.sendall(
                raw_runner.echo_request_tag(head, raw_runner.OK_RESPONSE)
            )
        else:
            connection.sendall(raw_runner.OK_RESPONSE)


def read_to_end(_, runner, connection):
    data = raw_runner.read_request_head(connection)
    while part := connection.recv(65536):
        data += part
    runner.requests.append(data)


def answer_early(_, runner, connection):
    head = runner.next_request(connection)
    connection.sendall(
        raw_runner.echo_request_tag(head, raw_runner.OK_RESPONSE)
    )
    runner.stopped.wait(2)


SERVER_BY_BEHAVIOUR = {
    "reset before the answer": reset_after_request,
    "reset inside the body": reset_after_request,
    "late extra bytes": send_late_extra_bytes,
    "408 on reuse": misbehave_on_reuse,
    "reset on reuse": misbehave_on_reuse,
    "wait for the body": read_to_end,
    "the tag of another request": answer_with_other_tag,
    "answers without a tag": answer_with_other_tag,
    "early answer": answer_early,
}


def build_server(behaviour):
    plain = (
        answer_and_keep_open
        if behaviour in KEPT_OPEN_ANSWER_BY_BEHAVIOUR
        else answer_and_close
    )
    special = SERVER_BY_BEHAVIOUR.get(behaviour, plain)
    return functools.partial(special, behaviour)


@given('a runner with the behaviour "{behaviour}"')
def start_runner(context, behaviour):
    context.behaviour = behaviour
    context.runner = raw_runner.RawRunner(build_server(behaviour))
    port = context.runner.port
    if behaviour == "refused connection":
        context.runner.stop()
        context.runner.stop = lambda: None
    if behaviour == "full listening queue":
        context.full = socket.socket()
        context.full.bind(("127.0.0.1", 0))
        context.full.listen(0)
        port = context.full.getsockname()[1]
        context.waiting = [socket.socket() for _ in range(3)]
        for item in context.waiting:
            item.setblocking(False)
            item.connect_ex(("127.0.0.1", port))
    context.target = manifest.Runner("quote-1", "p", "z", "127.0.0.1", port)
    context.client = reactor_thread.call(client.RunnerClient, reactor)


class CollectingSink:
    def __init__(self):
        self.data = b""

    def registerProducer(self, producer, streaming):
        producer.resumeProducing()

    def unregisterProducer(self):
        pass

    def write(self, data):
        self.data += data


async def send(context, method, body=None):
    now = reactor.seconds()
    outgoing = client.OutgoingRequest(
        method,
        "/price",
        http_headers.Headers({"X-Request-Id": ["r-1"]}),
        body,
        "mills",
        method == "GET",
        now + 5,
    )
    limit_s = 0.5 if context.behaviour.startswith("silence") else 4
    answer = await context.client.send_request(
        outgoing, context.target, 6, now + limit_s
    )
    if not pipeline.is_successful(answer):
        return answer.failure()
    found = answer.unwrap()
    collected = CollectingSink()
    failed = await found.deliver_body(answers.AnswerRelay(collected))
    return found.failure or failed or collected.data


@when('a "{method}" with a body is sent to it')
def send_with_body(context, method):
    sent = 0 if context.behaviour == "early answer" else Body.length
    context.outcome = reactor_thread.call(send, context, method, Body(sent))


@when('a "{method}" is sent to it')
@when('a "{method}" without a body is sent to it')
def send_without_body(context, method):
    time.sleep(0.1)
    context.outcome = reactor_thread.call(send, context, method)


@when('a "{method}" whose body stops half way is sent to it')
def send_truncated(context, method):
    context.outcome = reactor_thread.call(send, context, method, Body(5))


@when("a request is about to use a connection that was closed")
def send_on_closed_connection(context):
    connections = context.client.connections_to(context.target)

    def connect_and_reset(endpoint_connect):
        async def connect(factory):
            connection = await endpoint_connect(factory)
            connection.transport.getHandle().shutdown(socket.SHUT_RD)
            return connection

        return connect

    endpoint = connections._endpoint
    endpoint.connect = connect_and_reset(endpoint.connect)
    context.outcome = reactor_thread.call(send, context, "POST")
    assert not context.runner.requests, context.runner.requests


@when(
    "the process stands still for {seconds:g} s while a request's connection"
    " opens"
)
def stand_still(context, seconds):
    connections = context.client.connections_to(context.target)

    def connect_and_block(endpoint_connect):
        async def connect(factory):
            connection = await endpoint_connect(factory)
            # Blocks the reactor, so that no timer runs either.
            time.sleep(seconds)
            return connection

        return connect

    endpoint = connections._endpoint
    endpoint.connect = connect_and_block(endpoint.connect)
    context.outcome = reactor_thread.call(send, context, "POST")


@when('{count:d} "{method}" requests are sent to it at the same time')
def send_many(context, count, method):
    def begin():
        return defer.gatherResults(
            [defer.ensureDeferred(send(context, method)) for _ in range(count)]
        )

    context.outcomes = reactor_thread.call(begin)


@then('the failure is "{reason}" with verdict "{verdict}"')
def check_failure(context, reason, verdict):
    assert context.outcome.reason == reason, context.outcome
    assert context.outcome.verdict.value == verdict, context.outcome


@then("the runner's record agrees with the verdict")
def check_record(context):
    if context.outcome.verdict.value == "not-run":
        refused = context.behaviour == "503 with the not-run header"
        assert refused or not context.runner.requests
    else:
        assert len(context.runner.requests) == 1, context.runner.requests


@then('the complete answer is "{text}"')
def check_answer(context, text):
    assert context.outcome == text.encode(), context.outcome


@then("the runner has seen {count:d} connections")
def check_connections(context, count):
    assert context.runner.connections == count, context.runner.connections


@then("the runner has received less than the body")
def check_truncated(context):
    (data,) = context.runner.requests
    assert data.endswith(b"\r\n\r\n01234"), data


@then('{count:d} of them fail with "{reason}" and verdict "{verdict}"')
def check_failures(context, count, reason, verdict):
    failed = [item for item in context.outcomes if item.reason == reason]
    assert len(failed) == count, context.outcomes
    assert {item.verdict.value for item in failed} == {verdict}
    assert verdicts.VERDICT_BY_REASON[reason].value == verdict


@then('the table of verdicts in "{path}" equals the code\'s')
def check_documented_verdicts(context, path):
    rows = re.findall(
        r"\| `([a-z-]+)` \| `(not-run|may-have-run)` \|",
        pathlib.Path(path).read_text(),
    )
    assert dict(rows) == {
        reason: verdict.value
        for reason, verdict in verdicts.VERDICT_BY_REASON.items()
    }
