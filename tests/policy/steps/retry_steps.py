from behave import given
from behave import then
from behave import when

from azurevane._internal.policy import retry
from azurevane._internal.tasks import retry_budget
from azurevane._internal.upstreams import verdicts


@given('an attempt that failed as "{reason}" and is {kind}')
def set_failure(context, reason, kind):
    context.failure = verdicts.build_failure(reason)
    context.idempotent = kind == "idempotent"
    context.repeatable = kind != "not repeatable"


@given(
    "it is attempt {number:d} with {left_s:g} s to the deadline"
    " and {budget:d} retries in the budget"
)
def decide_about_attempt(context, number, left_s, budget):
    attempt = retry.FailedAttempt(
        number, context.failure, context.idempotent, context.repeatable, left_s
    )
    context.decision = retry.decide_retry(0.0, attempt, budget, 0.5)


@then('the retry decision is "{decision}"')
def check_decision(context, decision):
    assert context.decision.reason == decision, context.decision
    granted = context.decision.not_before is not None
    assert granted == (decision == "granted")


@then("the delay of attempt {number:d} is spread from 0 to {ms:d} ms")
def check_delay(context, number, ms):
    failure = verdicts.build_failure("not-wanted")
    attempt = retry.FailedAttempt(number, failure, False, True, 99.0)
    for random in (0.0, 0.5, 1.0):
        decision = retry.decide_retry(7.0, attempt, 1, random)
        assert abs(decision.not_before - 7 - random * ms / 1000) < 1e-9


@given("a retry budget with {count:d} successes at second {second:d}")
def make_budget(context, count, second):
    context.budget = retry_budget.RetryBudget()
    for _ in range(count):
        context.budget.record_success(float(second))


@when("{count:d} retries are made at second {second:d}")
def make_retries(context, count, second):
    for _ in range(count):
        context.budget.record_retry(float(second))


@then("{count:d} retries are left at second {second:d}")
def check_retries_left(context, count, second):
    assert context.budget.retries_left(float(second)) == count
