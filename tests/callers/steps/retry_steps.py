import functools
import re
import time

from behave import given
from behave import then
from behave import when

from support import entry_harness
from support import raw_runner
from support import reactor_thread

TRUNCATED_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
SCRIPT_BY_BEHAVIOUR = {
    "answers": [],
    "refuses at first": [raw_runner.NOT_RUN_RESPONSE],
    "resets at first": [None],
    "cuts at first": [TRUNCATED_ANSWER],
    "is busy at first": [raw_runner.BUSY_RESPONSE],
    "always refuses": [raw_runner.NOT_RUN_RESPONSE] * 9,
    "resets, then refuses": [
        None,
        raw_runner.NOT_RUN_RESPONSE,
        raw_runner.NOT_RUN_RESPONSE,
    ],
}


def serve_scripted(script, runner, connection):
    """Send the next answer of a script, or a success; then close."""
    head, _, body = raw_runner.read_request_head(connection).partition(
        b"\r\n\r\n"
    )
    length = re.search(rb"(?i)content-length: (\d+)", head)
    while length and len(body) < int(length[1]):
        body += connection.recv(65536)
    runner.requests.append((head, body))
    answer = script.pop(0) if script else raw_runner.OK_RESPONSE
    if answer is None:
        raw_runner.reset_connection(connection)
    else:
        connection.sendall(answer)


@given("an entry host {budget} a full retry budget whose runner {behaviour}")
@given("an entry host {budget} a retry budget whose runner {behaviour}")
def start_entry_host(context, budget, behaviour):
    script = list(SCRIPT_BY_BEHAVIOUR[behaviour])
    # The dispatcher may exclude a runner that has refused, so that each
    # attempt needs a runner of its own; all follow one script.
    serve = functools.partial(serve_scripted, script)
    context.entry = entry_harness.EntryHarness([serve] * 4)
    if budget == "with":
        context.entry.fill_retry_budget()


@when('a keyed request "{key}" of {size:d} bytes arrives')
def send_keyed_request(context, key, size):
    data = entry_harness.build_request(
        body=b"x" * size, Idempotency_Key=key, Azurevane_Deadline_Ms=1500
    )
    context.size = size
    context.caller = entry_harness.CallerConnection(context.entry)
    context.caller.send(data)
    context.answer = context.caller.read_answer()


@when(
    'a keyed request "{key}" arrives, its API key is withdrawn, and then its'
    " claim is decided"
)
def withdraw_key_during_claim(context, key):
    entry = context.entry
    entry.site.fault = "down"
    caller = entry_harness.CallerConnection(entry)
    caller.send(entry_harness.build_request(Idempotency_Key=key))
    time.sleep(0.3)
    reactor_thread.call(entry.withdraw_keys)
    entry.site.fault = ""
    context.answer = caller.read_answer()


@then(
    'the keyed request is answered {status:d} "{problem}" with verdict'
    ' "{verdict}" and has run {count:d} times'
)
def check_keyed_request(context, status, problem, verdict, count):
    answer = context.answer
    assert answer.status == status, answer.body
    if problem == "mine":
        assert answer.complete and answer.body == b"mine"
    else:
        assert answer.problem["type"].endswith(f":{problem}"), answer.problem
    found = answer.headers.get("azurevane-verdict", "none")
    assert found == verdict, found
    assert len(context.entry.requests()) == count


@when('a "{method}" request of {size:d} bytes arrives')
def send_request(context, method, size):
    data = entry_harness.build_request(
        method, body=b"x" * size, Content_Length=size
    )
    context.size = size
    context.caller = entry_harness.CallerConnection(context.entry)
    context.caller.send(data)
    context.answer = context.caller.read_answer()


@then("the request is answered after {count:d} attempts")
def check_answered(context, count):
    assert context.answer.status == 200, context.answer.body
    assert context.answer.complete and context.answer.body == b"mine"
    check_attempts(context, count)


def check_attempts(context, count):
    requests = context.entry.requests()
    assert len(requests) == count, len(requests)
    for _, body in requests:
        assert body == b"x" * context.size


@then(
    'the request is refused with {status:d} "{problem}" "{verdict}" after'
    " {count:d} attempt"
)
@then(
    'the request is refused with {status:d} "{problem}" "{verdict}" after'
    " {count:d} attempts"
)
def check_refused(context, status, problem, verdict, count):
    assert context.answer.status == status, context.answer.body
    found = context.answer.problem
    assert found["type"].endswith(f":{problem}"), found
    assert found["verdict"] == verdict, found
    check_attempts(context, count)
