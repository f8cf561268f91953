import functools
import io
import logging
import pathlib
import re
import socket
import threading
import time

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from azurevane._internal.callers import channel
from azurevane._internal.callers import exchange
from support import entry_harness
from support import processes
from support import raw_runner

MEGABYTE = 1024 * 1024
build_request = entry_harness.build_request
BAD_INPUT = {
    "no key": build_request(Authorization=None),
    "a wrong key": build_request(Authorization="Bearer stolen-secret-key"),
    "two keys": build_request(authorization="Bearer stolen-secret-key"),
    "the key of another team": build_request(Authorization="Bearer other-key"),
    "an unknown queue": build_request(path="/q/nothing/price"),
    "a path outside every queue": build_request(path="/etc"),
    "a declared body over the limit": build_request(Content_Length=10**9),
    "an over-limit expecting body": build_request(
        Content_Length=10**9, Expect="100-continue"
    ),
    "a header of 20 KB": build_request(X_Long="x" * 20_000),
    "600 headers": build_request(**{f"X{i}": i for i in range(600)}),
    "20 KB of small headers": build_request(
        **{f"X{i}": "x" * 200 for i in range(100)}
    ),
    "input that isn't HTTP": b"\x16\x03\x01 hello\r\n\r\n",
    "a header without a colon": build_request().replace(
        b"Host: h", b"Host: h\r\nno"
    ),
    "a space before the colon": build_request().replace(b"Host:", b"Host :"),
    "two lengths": build_request(body=b"abc", Content_length=4),
    "a length and chunks": build_request(
        Content_Length=3, Transfer_Encoding="chunked"
    ),
    "a negative length": build_request(Content_Length=-1),
    "an unknown coding": build_request(Transfer_Encoding="gzip"),
    "no host": build_request().replace(b"Host: h\r\n", b""),
    "an absolute target": build_request(path="http://h/q/quoting/price"),
    "a deadline that is no number": build_request(
        Azurevane_Deadline_Ms="soon"
    ),
    "a request id over the limit": build_request(Idempotency_Key="x" * 129),
    "a request id without a key": build_request(
        path="/q/open/price", Authorization=None, Idempotency_Key="order-1"
    ),
    "a deadline of 0": build_request(Azurevane_Deadline_Ms=0),
}
CHUNKS = b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
GOOD_INPUT = {
    "a small body": build_request(body=b"abcdefg"),
    "a chunked body": build_request(Transfer_Encoding="chunked") + CHUNKS,
    "a body of 150 KB": build_request(body=b"x" * 150_000),
    "a HEAD": build_request("HEAD"),
    "a request answered with 204": build_request("GET", "/q/quoting/204"),
    "a request answered with 304": build_request("GET", "/q/quoting/304"),
    "a chunked answer": build_request("GET", "/q/quoting/chunked"),
    "a plain 503 of the runner": build_request(path="/q/quoting/503"),
}
ANSWER_BY_PATH = {
    "/204": b"HTTP/1.1 204 No\r\n\r\n",
    "/304": b"HTTP/1.1 304 No\r\n\r\n",
    "/503": raw_runner.BUSY_RESPONSE,
    "/chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nmi\r\n2\r\nne\r\n0\r\n\r\n",
}


def read_request(connection):
    """Return head and body; the body is None if it is truncated."""
    head, _, data = raw_runner.read_request_head(connection).partition(
        b"\r\n\r\n"
    )
    if not head:
        return b"", b""
    length = re.search(rb"(?i)content-length: (\d+)", head)
    chunked = b"ncoding: chunked" in head

    def complete():
        if chunked:
            return data.endswith(b"0\r\n\r\n")
        return len(data) >= int(length[1] if length else 0)

    while not complete():
        chunk = connection.recv(65536)
        if not chunk:
            return head, None
        data += chunk
    return head, data


def serve_requests(runner, connection, delay_s=0.0):
    while True:
        head, body = read_request(connection)
        if not head:
            return
        runner.requests.append((head, body))
        if body is None or runner.stopped.wait(delay_s):
            return
        path = head.split(b" ")[1].decode()
        answer = ANSWER_BY_PATH.get(path, raw_runner.OK_RESPONSE)
        if head.startswith(b"HEAD"):
            answer = answer.removesuffix(b"mine")
        connection.sendall(answer)
        runner.answered += 1


def serve_truncated(sent, runner, connection):
    read_request(connection)
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + sent)
    time.sleep(0.1)


def serve_large(runner, connection):
    read_request(connection)
    size = 64 * MEGABYTE
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
    for _ in range(64):
        connection.sendall(b"x" * MEGABYTE)
    runner.answered += 1


def serve_slow_reader(runner, connection):
    unread = 64 * MEGABYTE
    unread -= len(
        raw_runner.read_request_head(connection).partition(b"\r\n\r\n")[2]
    )
    while unread > 0:
        unread -= len(connection.recv(MEGABYTE))
        time.sleep(0.005)
    connection.sendall(raw_runner.OK_RESPONSE)


def resident_bytes():
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * 4096


def start_with_runner(context, serve_connection, **options):
    context.log = io.StringIO()
    handler = logging.StreamHandler(context.log)
    logging.getLogger().handlers[:] = [handler]
    logging.getLogger().setLevel(logging.DEBUG)
    context.entry = entry_harness.EntryHarness([serve_connection], **options)
    context.entry.runners[0].answered = 0


@given("an entry host")
def start_entry_host(context):
    start_with_runner(context, serve_requests)


@given("an entry host whose runner answers after {ms:d} ms")
def start_with_slow_runner(context, ms):
    start_with_runner(
        context, functools.partial(serve_requests, delay_s=ms / 1000)
    )


@given("an entry host whose runner never answers")
def start_with_silent_runner(context):
    start_with_runner(context, functools.partial(serve_requests, delay_s=30))


@given("an entry host whose runner cuts off its answer {where} the body")
def start_with_truncating_runner(context, where):
    sent = b"" if where == "before" else b"mi"
    start_with_runner(context, functools.partial(serve_truncated, sent))


@given("an entry host whose runner answers with 64 MB")
def start_with_large_answer(context):
    start_with_runner(context, serve_large, max_run_s=30)


@given("an entry host whose runner reads 64 MB slowly")
def start_with_slow_reading_runner(context):
    start_with_runner(
        context, serve_slow_reader, max_run_s=30, max_body_bytes=64 * MEGABYTE
    )


def start_with_time_limit(context, module, name, ms):
    original = getattr(module, name)
    context.add_cleanup(setattr, module, name, original)
    setattr(module, name, ms / 1000)
    start_with_runner(context, serve_requests)


@given("an entry host with a head timeout of {ms:d} ms")
def start_with_head_timeout(context, ms):
    start_with_time_limit(context, channel, "HEAD_TIMEOUT_S", ms)


@given("an entry host with a body timeout of {ms:d} ms")
def start_with_body_timeout(context, ms):
    start_with_time_limit(context, exchange, "BODY_STALL_S", ms)


def send_and_read_answer(context, data, method="POST"):
    context.caller = entry_harness.CallerConnection(context.entry)
    context.sent_at = time.monotonic()
    context.caller.send(data)
    context.answer = context.caller.read_answer(method)
    context.answer_s = time.monotonic() - context.sent_at


@when("a caller sends a body that waits for 100 Continue")
def send_body_after_continue(context):
    context.caller = entry_harness.CallerConnection(context.entry)
    context.caller.send(build_request(Content_Length=7, Expect="100-continue"))
    first = context.caller.socket.recv(100)
    assert first == b"HTTP/1.1 100 Continue\r\n\r\n", first
    context.caller.send(b"abcdefg")
    context.answer = context.caller.read_answer()


@when("a caller streams chunks without end")
def stream_chunks(context):
    context.caller = entry_harness.CallerConnection(context.entry)
    context.caller.send(build_request(Transfer_Encoding="chunked"))
    for _ in range(30):
        context.caller.send(b"2710\r\n" + b"x" * 10_000 + b"\r\n")
        time.sleep(0.005)
    context.answer = context.caller.read_answer()


@when("a caller sends a malformed chunk after a good one")
def send_malformed_chunk(context):
    context.caller = entry_harness.CallerConnection(context.entry)
    context.caller.send(
        build_request(Transfer_Encoding="chunked") + b"3\r\nabc\r\n"
    )
    time.sleep(0.2)
    context.caller.send(b"zz\r\n")
    context.answer = context.caller.read_answer()


@when("a caller sends a request with a deadline of {ms:d} ms")
def send_with_deadline(context, ms):
    send_and_read_answer(context, build_request(Azurevane_Deadline_Ms=ms))


@when("a caller disconnects {ms:d} ms after it sent a request")
def disconnect(context, ms):
    with entry_harness.CallerConnection(context.entry).socket as connection:
        connection.sendall(build_request())
        time.sleep(ms / 1000)


@when("a caller sends its head one byte at a time")
def send_head_slowly(context):
    context.caller = entry_harness.CallerConnection(context.entry)
    for byte in b"GET /healthz H":
        context.caller.send(bytes([byte]))
        time.sleep(0.05)
    context.answer = context.caller.read_answer()


@when("a caller sends half a body")
def send_half_body(context):
    send_and_read_answer(context, build_request(body=b"abc", Content_Length=6))


@when("a caller sends {count:d} pipelined requests of three kinds")
def send_pipelined(context, count):
    context.kinds = ["chunked", "204", "price"] * count
    context.kinds = context.kinds[:count]
    data = b"".join(
        build_request("GET", f"/q/quoting/{k}") for k in context.kinds
    )
    context.caller = entry_harness.CallerConnection(context.entry)
    context.caller.send(data)


@when("a caller reads the answer slowly")
def read_answer_slowly(context):
    context.before = resident_bytes()
    context.caller = entry_harness.CallerConnection(context.entry)
    context.caller.send(build_request(Azurevane_Deadline_Ms=30_000))
    context.received = 0
    buffer = bytearray(MEGABYTE)
    context.highest = 0
    while context.received < 64 * MEGABYTE:
        count = context.caller.socket.recv_into(buffer)
        if not count:
            break
        context.received += count
        time.sleep(0.002)
        context.highest = max(context.highest, resident_bytes())


@when("a caller sends 64 MB")
def send_large_body(context):
    context.before = resident_bytes()
    context.highest = 0
    context.caller = entry_harness.CallerConnection(context.entry)
    context.caller.send(
        build_request(
            Content_Length=64 * MEGABYTE, Azurevane_Deadline_Ms=30_000
        )
    )
    for _ in range(64):
        context.caller.send(b"x" * MEGABYTE)
        context.highest = max(context.highest, resident_bytes())
    context.answer = context.caller.read_answer()


@when("a caller sends {name}")
def send_named_input(context, name):
    context.input = name
    data = BAD_INPUT[name] if name in BAD_INPUT else GOOD_INPUT[name]
    send_and_read_answer(context, data, data.split(b" ")[0].decode("latin-1"))


@then(
    'the answer is a problem {status:d} "{problem}" with verdict "{verdict}"'
)
def check_problem(context, status, problem, verdict):
    answer = context.answer
    assert answer.status == status, (answer.status, answer.body)
    assert answer.complete
    assert answer.headers["content-type"] == "application/problem+json"
    assert answer.problem["type"] == f"urn:azurevane:problem:{problem}"
    assert answer.problem["verdict"] == verdict, answer.problem


@then("no runner has seen a request")
def check_no_request_at_runner(context):
    assert not context.entry.runners[0].requests


@then("no log line holds a key or a traceback")
def check_log(context):
    log = context.log.getvalue()
    for text in ("secret-key", "other-key", "Traceback"):
        assert text not in log, log


@then('the answer is whole with status {status:d} and body "{body}"')
@then('the answer is whole with status {status:d} and body ""')
def check_whole(context, status, body=""):
    answer = context.answer
    assert answer.complete and answer.status == status, vars(answer)
    assert answer.body == body.encode(), answer.body


@then("the runner has received the body whole")
def check_body(context):
    ((_, body),) = context.entry.runners[0].requests
    sent = GOOD_INPUT.get(getattr(context, "input", ""), b"\r\n\r\nabcdefg")
    sent = sent.partition(b"\r\n\r\n")[2]
    if sent == CHUNKS:
        body = b"".join(re.findall(rb"\r\n?([a-g]+)\r\n", b"\r\n" + body))
        sent = b"abcdefg"
    assert body == sent, (body, sent)


@then("each answer belongs to its request")
def check_answer_order(context):
    for kind in context.kinds:
        answer = context.caller.read_answer()
        assert answer.complete
        assert bool(answer.headers["Transfer-Encoding"]) == (kind == "chunked")
        assert answer.status == (204 if kind == "204" else 200)


@then("the runner has received the end of the stream inside the body")
def check_truncated_body(context):
    runner = context.entry.runners[0]
    processes.wait_until(lambda: runner.requests, timeout=2)
    assert runner.requests[0][1] is None, runner.requests


@then("the connection is aborted inside the answer")
def check_aborted(context):
    assert context.answer.status == 200
    assert not context.answer.complete and context.answer.was_reset


@then("the answer came within {ms:d} ms")
def check_answer_time(context, ms):
    assert context.answer_s * 1000 < ms, context.answer_s


@then("1 slot is in use")
def check_slot_in_use(context):
    assert context.entry.running() == 1


@then("no slot is in use after {seconds:d} second")
@then("no slot is in use after {seconds:d} seconds")
def check_no_slot(context, seconds):
    processes.wait_until(lambda: context.entry.running() == 0, seconds)


@then("the runner could send its answer whole")
def check_answer_sent(context):
    assert context.entry.runners[0].answered == 1


@then("the answer has 64 MB")
def check_answer_size(context):
    assert context.received >= 64 * MEGABYTE, context.received


@then("the process has grown by less than {count:d} MB")
def check_memory(context, count):
    grown = (context.highest - context.before) / MEGABYTE
    assert grown < count, grown


def malformed_requests():
    """Generate requests whose parts are valid, malformed or missing."""
    parts = [
        strategies.sampled_from([b"GET", b"POST", b"P OST", b"", b"\x00"]),
        strategies.sampled_from([b" ", b"  ", b"\t"]),
        strategies.one_of(
            strategies.just(b"/q/quoting/price"), strategies.binary(max_size=9)
        ),
        strategies.sampled_from([b" HTTP/1.1", b" HTTP/1.0", b" HTTP/9", b""]),
        strategies.sampled_from([b"\r\n", b"\n", b"\r"]),
        strategies.lists(
            strategies.one_of(
                strategies.binary(max_size=30),
                strategies.sampled_from(
                    [
                        b"Host: h",
                        b"Content-Length: 3",
                        b"Transfer-Encoding: chunked",
                        b"Expect: 100-continue",
                        b"Idempotency-Key: \xff",
                        b"Azurevane-Deadline-Ms: 99999999999",
                    ]
                ),
            ),
            max_size=5,
        ).map(b"\r\n".join),
        strategies.sampled_from([b"\r\n\r\n", b"\r\n"]),
        strategies.binary(max_size=40),
    ]
    return strategies.tuples(*parts).map(b"".join)


@then("{count:d} random inputs from a fixed seed are each refused or answered")
def check_random_inputs(context, count):
    @hypothesis.seed(1)
    @hypothesis.settings(
        max_examples=count, deadline=None, database=None, print_blob=False
    )
    @hypothesis.given(malformed_requests())
    def check(data):
        with entry_harness.CallerConnection(
            context.entry
        ).socket as connection:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            received = b""
            while chunk := receive_or_empty(connection):
                received += chunk
        for line in re.findall(rb"HTTP/1\.[01] (\d+)", received):
            assert int(line) in (100, 400, 401, 404, 408, 431), received

    check()
    assert not context.entry.runners[0].requests
    assert threading.active_count() < 20


def receive_or_empty(connection):
    try:
        return connection.recv(65536)
    except ConnectionError:
        return b""
