"""Steps about the speed of filling tasks."""

from behave import given
from behave import then
from behave import when

from azurevane._internal.policy import pacing


@given("filling tasks at {speed:d} percent")
def step_speed(context, speed):
    context.speed = speed


@when("the worst serving task is at {share:g} of its target")
def step_share(context, share):
    context.speed = pacing.next_speed(context.speed, share)


@then("they work at {speed:d} percent")
def step_next(context, speed):
    assert context.speed == speed, context.speed


@when(
    "they disturb by {more:g} times the target at full speed, over {base:g}"
    " without"
)
def step_disturb(context, more, base):
    context.share_at = lambda speed: base + more * speed / 100


@then("the target is met within {first:d} reports and stays so for {count:d}")
def step_met(context, first, count):
    speed = context.speed
    shares = []
    for _ in range(first + count):
        shares.append(context.share_at(speed))
        speed = pacing.next_speed(speed, shares[-1])
    late = [share for share in shares[first:] if share > 1.0]
    assert not late, shares
    assert speed > 0, "stopped for good"
