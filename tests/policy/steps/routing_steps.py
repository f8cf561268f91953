from behave import given
from behave import then
from behave import when

from azurevane._internal.policy import routing


@given("these runners seen from zone az-a")
def choose_from_table(context):
    context.chosen = routing.choose_runner(
        "az-a",
        [
            routing.RunnerCandidate(
                row["runner"],
                row["zone"],
                int(row["free"]),
                int(row["outstanding"]),
                row["blocked"],
            )
            for row in context.table
        ],
    )


@then("the chosen runner is {runner}")
def check_chosen(context, runner):
    assert context.chosen[0] == runner, context.chosen


@when("a runner fails 5 times in a row at second 0")
def fail_repeatedly(context):
    context.breaker = routing.CLOSED_BREAKER
    for _ in range(5):
        assert context.breaker.allows_request(0.0)
        context.breaker = context.breaker.after_failure(0.0, False)


@when("the trial request at second {second:g} {result}")
def try_request(context, second, result):
    assert context.breaker.allows_request(second)
    trial = context.breaker.after_dispatch()
    context.breaker = {
        "fails": trial.after_failure(second, False),
        "succeeds": trial.after_success(),
        "runs": trial,
    }[result]


@then("it accepts work at these seconds")
def check_breaker(context):
    for row in context.table:
        allowed = context.breaker.allows_request(float(row["second"]))
        assert allowed == (row["accepts"] == "yes"), row
