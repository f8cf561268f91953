"""Steps about the leases on runners."""

import dataclasses

from behave import given
from behave import then
from behave import when

from azurevane._internal.models import job as job_models
from azurevane._internal.models import site
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import store_clock

# Clock of the runner when it was read, at the monotonic time 0.
CLOCK_S = 100.0


@given("a runner whose clock is {slow:g} % slow was last heard {age:g} s ago")
def step_slow_runner(context, slow, age):
    entry = site.Runner(
        id="i-1",
        started_at=1.0,
        address="10.9.0.1:8000",
        service="press",
        zone="east",
        draining=False,
        capacity=job_models.Capacity(),
        labels=frozenset(),
        rack="",
        clock_s=CLOCK_S,
    )
    context.runner = runner_state.RunnerState(entry, 0.0, 0.0)
    context.runner.record_clock(CLOCK_S, 0.0)
    context.rate = 1 - slow / 100
    context.now = age


def _update_entry(context, clock_s, now):
    entry = dataclasses.replace(context.runner.entry, clock_s=clock_s)
    context.runner.update_entry(entry, now)


@given("its entry is renewed every {interval:g} s")
def step_renewed(context, interval):
    for number in range(int(context.now / interval) + 1):
        at = number * interval
        _update_entry(context, CLOCK_S + at * context.rate, at)


@given("its entry of {age:g} s ago is read")
def step_old_entry(context, age):
    written_at = context.now - age
    clock_s = CLOCK_S + written_at * context.rate
    _update_entry(context, clock_s, context.now)


@when("its lease is extended by {length_s:g} s")
def step_extend(context, length_s):
    context.until_s = context.runner.extend_lease(context.now, length_s)


@then("the lease has expired on the runner after {seconds:g} s")
def step_expired(context, seconds):
    left_s = _lease_left_s(context)
    assert 0 < left_s <= seconds + 0.01, left_s


@then("the lease hasn't expired on the runner after {seconds:g} s")
def step_not_expired(context, seconds):
    left_s = _lease_left_s(context)
    assert left_s > seconds, left_s


def _lease_left_s(context):
    clock_s = CLOCK_S + context.now * context.rate
    return (context.until_s - clock_s) / context.rate


@given(
    "the store showed {shown:g} s in a response that took from {sent:g} s to"
    " {handled:g} s"
)
def step_store_response(context, shown, sent, handled):
    context.store_clock = store_clock.StoreClock.from_response(
        shown, sent_at=sent, handled_at=handled
    )


@then("at {at:g} s the store's clock shows {least:g} s to {most:g} s")
def step_store_shows(context, at, least, most):
    shown = context.store_clock.earliest(at), context.store_clock.latest(at)
    assert shown == (least, most), shown


@then("{shown:g} s have certainly passed on it at {at:g} s, not before")
def step_certainly_passed(context, shown, at):
    passed_at = context.store_clock.certainly_passed_at(shown)
    assert passed_at == at, passed_at
