import collections
import random
import re
import threading

from behave import given
from behave import then
from behave import when

from support import entry_harness
from support import raw_runner

FAULTS = ("reset", "half", "refuse", "busy", "silent", "stray", "close")


def serve(record, runner, connection):
    """Run requests, with faults that the request ids decide."""
    while True:
        head, _, body = raw_runner.read_request_head(connection).partition(
            b"\r\n\r\n"
        )
        if not head:
            return
        length = re.search(rb"(?i)content-length: (\d+)", head)
        while length and len(body) < int(length[1]):
            part = connection.recv(65536)
            if not part:
                return
            body += part
        found = re.search(rb"(?i)x-request-id: (\S+)", head)[1].decode()
        attempt = record[found] + 1
        draw = random.Random(f"{found}/{attempt}/{runner.requests}")
        fault = draw.choice(FAULTS + ("",) * 8)
        if fault == "refuse":
            runner.requests.append(found)
            connection.sendall(raw_runner.NOT_RUN_RESPONSE)
            return
        echoing = draw.random() < 0.9
        record[found] = attempt
        if not answer(runner, connection, head, found, fault, echoing):
            return


def answer(runner, connection, head, found, fault, echoing):
    """Answer with a fault; return whether the connection can go on."""
    content = found.encode()
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(content)
    unasked = whole
    if echoing:
        whole = raw_runner.echo_request_tag(head + b"\r\n", whole)
    if fault == "reset":
        raw_runner.reset_connection(connection)
    elif fault == "half":
        connection.sendall(whole + content[:-1])
    elif fault == "busy":
        connection.sendall(raw_runner.BUSY_RESPONSE)
    elif fault == "silent":
        runner.stopped.wait(0.4)
    else:
        connection.sendall(whole + content)
        if fault == "stray":
            connection.sendall(unasked + b"theirs")
            runner.stopped.wait(0.05)
        return not fault
    return False


@given(
    "an entry host with a full retry budget whose runners misbehave at random"
)
def start(context):
    context.record = collections.Counter()

    def serve_one(runner, connection):
        serve(context.record, runner, connection)

    context.entry = entry_harness.EntryHarness([serve_one] * 16)
    context.entry.fill_retry_budget()


def call(context, draw, number, index):
    """Send one request, perhaps twice, and note what the caller is told."""
    request_id = f"id-{number}-{index}"
    method = draw.choice(("GET", "PUT", "POST", "POST"))
    keyed = method == "POST" and draw.random() < 0.5
    size = 0 if method == "GET" else draw.choice((0, 10, 100_000))
    headers = {"Idempotency_Key": request_id} if keyed else {}
    for _ in range(2 if keyed else 1):
        before = context.record[request_id]
        caller = entry_harness.CallerConnection(context.entry)
        caller.send(
            entry_harness.build_request(
                method,
                body=b"x" * size,
                X_Request_Id=request_id,
                Azurevane_Deadline_Ms=draw.choice((300, 1000)),
                **headers,
            )
        )
        told = caller.read_answer(method)
        runs = context.record[request_id] - before
        context.told.append((request_id, method, told, runs))


@when(
    "{callers:d} callers send {count:d} random requests each, some of them"
    " repeated"
)
def send_all(context, callers, count):
    context.told = []

    def run(number):
        draw = random.Random(number)
        for index in range(count):
            call(context, draw, number, index)

    threads = [
        threading.Thread(target=run, args=(number,))
        for number in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("each answer is whole and belongs to its request")
def check_whole(context):
    statuses = collections.Counter(
        told.status for _, _, told, _ in context.told
    )
    assert statuses[200] > len(context.told) / 3, statuses
    for request_id, _, told, _ in context.told:
        if told.status == 200 and told.complete:
            assert told.body == request_id.encode(), (request_id, told)


@then('no request that is told "not-run" has run')
def check_not_run(context):
    not_run = [
        (request_id, told, runs)
        for request_id, _, told, runs in context.told
        if told.headers.get("Azurevane-Verdict") == "not-run"
    ]
    assert not_run
    for request_id, told, runs in not_run:
        assert runs == 0, (request_id, told)


@then("no request that isn't idempotent has run twice")
def check_once(context):
    for request_id, method, _, _ in context.told:
        if method == "POST":
            assert context.record[request_id] <= 1, request_id
