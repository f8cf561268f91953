"""Steps for the speed of filling tasks."""

from behave import given
from behave import then
from behave import when

from azurevane._internal.policy import pacing


@given("filling tasks at {speed:d} percent")
def set_speed(context, speed):
    context.speed = speed


@when("the worst serving task is at {share:g} of its target")
def apply_latency_ratio(context, share):
    context.speed = pacing.next_speed(context.speed, share)


@then("they work at {speed:d} percent")
def check_speed(context, speed):
    assert context.speed == speed, context.speed


@when("they add {more:g} times the target at full speed to a base of {base:g}")
def set_disturbance(context, more, base):
    context.share_at = lambda speed: base + more * speed / 100


@then("the target is met after {first:d} reports and for {count:d} more")
def check_target_met(context, first, count):
    speed = context.speed
    shares = []
    for _ in range(first + count):
        shares.append(context.share_at(speed))
        speed = pacing.next_speed(speed, shares[-1])
    late = [share for share in shares[first:] if share > 1.0]
    assert not late, shares
    assert speed > 0, "the speed stayed at 0"
