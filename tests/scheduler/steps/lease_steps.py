"""Steps about the leases on runners."""

from behave import given
from behave import then
from behave import when

from azurevane._internal.models import job as job_models
from azurevane._internal.models import site
from azurevane._internal.scheduler import runner_state

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


@when("its lease is extended by {length_s:g} s")
def step_extend(context, length_s):
    context.until_s = context.runner.extend_lease(context.now, length_s)


@then("the lease has expired on the runner after {seconds:g} s")
def step_expired(context, seconds):
    left_s = context.until_s - (CLOCK_S + context.now * context.rate)
    assert 0 < left_s / context.rate <= seconds + 0.01, left_s
