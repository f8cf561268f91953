import json
import time

from behave import given
from behave import then
from behave import when
from twisted.internet import defer
from twisted.internet import reactor
from twisted.web import server

from azurevane import exceptions
from azurevane._internal.models import fleet
from azurevane._internal.standins import faults
from azurevane._internal.standins import platform
from azurevane._internal.table_service import state_store
from azurevane._internal.table_service import table
from azurevane._internal.table_service import transport
from azurevane._internal.utils import token_bucket


def run_until_done(awaitable, seconds=40.0):
    """Run the reactor until a coroutine ends; return or raise its result."""
    ended = []
    defer.ensureDeferred(awaitable).addBoth(ended.append)
    end = time.monotonic() + seconds
    while not ended:
        assert time.monotonic() < end, "no result in time"
        reactor.iterate(0.005)
    if hasattr(ended[0], "raiseException"):
        ended[0].raiseException()
    return ended[0]


def build_client(context, timeout_s=2.0, budget=None):
    calls = transport.JsonTransport(
        reactor, f"http://127.0.0.1:{context.port}", timeout_s
    )
    context.add_cleanup(lambda: run_until_done(close_transport(calls)))
    return table.TableClient(calls, budget)


async def close_transport(calls):
    await calls.close()


@given("the platform stand-in on loopback")
def start_standin(context):
    context.platform = platform.PlatformResource(reactor)
    listening = reactor.listenTCP(
        0, server.Site(context.platform), interface="127.0.0.1"
    )
    context.port = listening.getHost().port
    context.add_cleanup(listening.stopListening)


@given("the stand-in simulates {text}")
@when("the stand-in simulates {text}")
def set_faults(context, text):
    fields = {} if text == "no fault" else json.loads(text)
    context.platform.faults = faults.ServerFaults(**fields)


@when("a row is written with a timeout of {seconds:f} seconds")
def write_row(context, seconds):
    began = time.monotonic()
    context.failure = "success"
    try:
        run_until_done(
            build_client(context, seconds).transact(
                table.Transaction("token", {"row": 0}, {"row": 1})
            )
        )
    except exceptions.StoreUnavailable:
        context.failure = "unavailable"
    context.took = time.monotonic() - began


@then("the call fails as {failure} within {seconds:f} seconds")
def check_failure(context, failure, seconds):
    assert context.failure == failure, context.failure
    assert context.took < seconds, context.took


@then("the write has taken effect: {effect}")
def check_effect(context, effect):
    rows = context.platform.table.row_by_name
    assert ("row" in rows) is (effect == "yes")
    end = time.monotonic() + 1.0
    while effect == "later" and time.monotonic() < end:
        reactor.iterate(0.01)
    assert ("row" in rows) is (effect != "no")


@when("{count:d} reads are made at once")
def read_many(context, count):
    reader = build_client(context)
    # The breaker isn't under test here; it is kept closed.
    reader._transport.breaker.record_failure = lambda now: None
    context.succeeded = 0
    for _ in range(count):
        try:
            run_until_done(reader.read("row"))
            context.succeeded += 1
        except exceptions.StoreUnavailable:
            pass


@then("{least:d} to {most:d} of them succeed")
@then("{least:d} to {most:d} of them are admitted")
def check_succeeded(context, least, most):
    assert least <= context.succeeded <= most, context.succeeded


@when("reads are made for {seconds:d} seconds, {rate:d} a second")
def read_steadily(context, seconds, rate):
    context.reader = build_client(context)
    context.calls = context.not_called = 0
    refused = context.platform._refusal_status

    def count():
        context.calls += 1
        return refused()

    context.platform._refusal_status = count
    for _ in range(seconds * rate):
        try:
            run_until_done(context.reader.read("row"))
        except exceptions.StoreNotCalled:
            context.not_called += 1
        except exceptions.StoreUnavailable:
            pass
        pause = time.monotonic() + 1 / rate
        while time.monotonic() < pause:
            reactor.iterate(0.002)
    context.made = seconds * rate


@then("at most {count:d} calls reached the stand-in")
def check_calls(context, count):
    assert 5 <= context.calls <= count, context.calls


@then("the other reads failed at once as not called")
def check_not_called(context):
    assert context.not_called + context.calls == context.made


@then("a read succeeds within {seconds:d} seconds")
def check_read_succeeds(context, seconds):
    end = time.monotonic() + seconds
    while True:
        try:
            run_until_done(context.reader.read("row"))
            return
        except exceptions.StoreUnavailable:
            assert time.monotonic() < end
            reactor.iterate(0.05)


@given("a write budget of {rate:d} a second with a burst of {burst:d}")
def set_budget(context, rate, burst):
    context.budget = token_bucket.TokenBucket(rate, burst)


@when("writes are made for {seconds:d} virtual seconds, {rate:d} a second")
def write_steadily(context, seconds, rate):
    writer = build_client(context, budget=context.budget)
    context.succeeded = 0
    for index in range(seconds * rate):
        writer._seconds = lambda now=index / rate: now
        try:
            run_until_done(
                writer.transact(table.Transaction("t", {}, {"row": index}))
            )
            context.succeeded += 1
        except exceptions.StoreNotCalled:
            pass
    assert context.platform.table.writes == context.succeeded


@when("the fleet state is stored")
def store_state(context):
    context.store = state_store.StateStore(build_client(context))
    empty = run_until_done(context.store.read())
    context.state = fleet.FleetState(1, "first")
    context.stored = run_until_done(
        context.store.replace(empty, context.state)
    )


@then("a conditional read of the same row version returns nothing")
def check_unchanged(context):
    version = context.stored.row_version
    assert run_until_done(context.store.read_if_changed(version)) is None


@then("a conditional read of an earlier row version returns the state")
def check_changed(context):
    version = context.stored.row_version - 1
    found = run_until_done(context.store.read_if_changed(version))
    assert found.state == context.state
    assert found.row_version == context.stored.row_version


@when("two writers replace the state that they both read")
def replace_twice(context):
    context.replaced = [
        run_until_done(
            context.store.replace(context.stored, fleet.FleetState(2, token))
        )
        for token in ("one", "two")
    ]


@then("only the first succeeds, and its token is stored with its version")
def check_first_succeeded(context):
    assert context.replaced[0] is not None and context.replaced[1] is None
    found = run_until_done(context.store.read())
    assert found.token_by_version == {1: "first", 2: "one"}
