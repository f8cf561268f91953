"""Steps for the speed of filling tasks."""

from behave import given
from behave import then
from behave import when

from azurevane._internal.policy import pacing


@given("filling tasks at {speed:d} percent")
def set_speed(context, speed):
    context.speed = speed


@when("the worst serving task is at {ratio:g} of its target")
def apply_latency_ratio(context, ratio):
    context.speed = pacing.next_speed(context.speed, ratio)


@then("they work at {speed:d} percent")
def check_speed(context, speed):
    assert context.speed == speed, context.speed


@when("they add {more:g} times the target at full speed to a base of {base:g}")
def set_disturbance(context, more, base):
    context.latency_ratio_at = lambda speed: base + more * speed / 100


@then("the target is met after {first:d} reports and for {count:d} more")
def check_target_met(context, first, count):
    speed = context.speed
    ratios = []
    for _ in range(first + count):
        ratios.append(context.latency_ratio_at(speed))
        speed = pacing.next_speed(speed, ratios[-1])
    late = [ratio for ratio in ratios[first:] if ratio > 1.0]
    assert not late, ratios
    assert speed > 0, "the speed stayed at 0"
