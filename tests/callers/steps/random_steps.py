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


def serve_with_faults(run_counts, runner, connection):
    """Run requests, with random faults seeded by the request ids."""
    while True:
        head, _, body = raw_runner.read_request_head(connection).partition(
            b"\r\n\r\n"
        )
        if not head:
            return
        length = re.search(rb"(?i)content-length: (\d+)", head)
        while length and len(body) < int(length[1]):
            chunk = connection.recv(65536)
            if not chunk:
                return
            body += chunk
        request_id = re.search(rb"(?i)x-request-id: (\S+)", head)[1].decode()
        attempt = run_counts[request_id] + 1
        rng = random.Random(f"{request_id}/{attempt}/{runner.requests}")
        fault = rng.choice(FAULTS + ("",) * 8)
        if fault == "refuse":
            runner.requests.append(request_id)
            connection.sendall(raw_runner.NOT_RUN_RESPONSE)
            return
        echoes_tag = rng.random() < 0.9
        run_counts[request_id] = attempt
        if not answer_with_fault(
            runner, connection, head, request_id, fault, echoes_tag
        ):
            return


def answer_with_fault(runner, connection, head, request_id, fault, echoes_tag):
    """Answer with a fault; return whether the connection stays usable."""
    content = request_id.encode()
    answer_head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(
        content
    )
    untagged_head = answer_head
    if echoes_tag:
        answer_head = raw_runner.echo_request_tag(head + b"\r\n", answer_head)
    if fault == "reset":
        raw_runner.reset_connection(connection)
    elif fault == "half":
        connection.sendall(answer_head + content[:-1])
    elif fault == "busy":
        connection.sendall(raw_runner.BUSY_RESPONSE)
    elif fault == "silent":
        runner.stopped.wait(0.4)
    else:
        connection.sendall(answer_head + content)
        if fault == "stray":
            connection.sendall(untagged_head + b"theirs")
            runner.stopped.wait(0.05)
        return not fault
    return False


@given(
    "an entry host with a full retry budget whose runners misbehave at random"
)
def start_entry_host(context):
    context.run_counts = collections.Counter()

    def serve(runner, connection):
        serve_with_faults(context.run_counts, runner, connection)

    context.entry = entry_harness.EntryHarness([serve] * 16)
    context.entry.fill_retry_budget()


def send_random_request(context, rng, number, index):
    """Send one request, perhaps twice, and record answers and runs."""
    request_id = f"id-{number}-{index}"
    method = rng.choice(("GET", "PUT", "POST", "POST"))
    keyed = method == "POST" and rng.random() < 0.5
    size = 0 if method == "GET" else rng.choice((0, 10, 100_000))
    headers = {"Idempotency_Key": request_id} if keyed else {}
    for _ in range(2 if keyed else 1):
        before = context.run_counts[request_id]
        caller = entry_harness.CallerConnection(context.entry)
        caller.send(
            entry_harness.build_request(
                method,
                body=b"x" * size,
                X_Request_Id=request_id,
                Azurevane_Deadline_Ms=rng.choice((300, 1000)),
                **headers,
            )
        )
        answer = caller.read_answer(method)
        runs = context.run_counts[request_id] - before
        context.results.append((request_id, method, answer, runs))


@when(
    "{callers:d} callers send {count:d} random requests each, some of them"
    " repeated"
)
def send_random_requests(context, callers, count):
    context.results = []

    def send_requests(number):
        rng = random.Random(number)
        for index in range(count):
            send_random_request(context, rng, number, index)

    threads = [
        threading.Thread(target=send_requests, args=(number,))
        for number in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("each answer is whole and belongs to its request")
def check_whole(context):
    statuses = collections.Counter(
        answer.status for _, _, answer, _ in context.results
    )
    assert statuses[200] > len(context.results) / 3, statuses
    for request_id, _, answer, _ in context.results:
        if answer.status == 200 and answer.complete:
            assert answer.body == request_id.encode(), (request_id, answer)


@then('no request that is answered "not-run" has run')
def check_not_run(context):
    not_run = [
        (request_id, answer, runs)
        for request_id, _, answer, runs in context.results
        if answer.headers.get("Azurevane-Verdict") == "not-run"
    ]
    assert not_run
    for request_id, answer, runs in not_run:
        assert runs == 0, (request_id, answer)


@then("no request that isn't idempotent has run twice")
def check_once(context):
    for request_id, method, _, _ in context.results:
        if method == "POST":
            assert context.run_counts[request_id] <= 1, request_id
