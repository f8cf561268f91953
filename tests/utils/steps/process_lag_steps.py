"""Steps for the measurement of a process's lag, in virtual time."""

from behave import given
from behave import then
from behave import when
from twisted.internet import task

from azurevane._internal.utils import process_lag


@given("the lag of a process is measured")
def step_measure(context):
    context.clock = task.Clock()
    context.lag = process_lag.ProcessLag(context.clock)
    context.lag.start()


@when("{seconds:g} s pass in steps of {step:g} s")
def step_pass(context, seconds, step):
    context.clock.pump([step] * round(seconds / step))


@when("the process doesn't run for {seconds:g} s")
def step_stall(context, seconds):
    # All timers of this time run late, at its end.
    context.clock.advance(seconds)


@when("{seconds:g} s pass without its timers")
def step_pass_without_timers(context, seconds):
    context.clock.rightNow += seconds


@then("the process was late for {seconds:g} s in all")
def step_late(context, seconds):
    total_s = context.lag.total_s()
    assert abs(total_s - seconds) < 0.011, total_s
