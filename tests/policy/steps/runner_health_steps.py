"""Steps about what the ends of tasks say of their runner."""

from behave import given
from behave import then
from behave import when

from azurevane._internal.policy import runner_health


@given("a runner whose tasks' ends are judged")
def step_runner(context):
    context.health = runner_health.RunnerHealth()


@when('tasks of jobs "{jobs}" fail on it at {now:g} s')
def step_fail(context, jobs, now):
    for job_id in jobs.split(","):
        context.health.record_failure(job_id, now)


@when("a task is done on it")
def step_done(context):
    context.health.record_success()


@then("it is paused until {until:g} s")
def step_paused(context, until):
    assert abs(context.health.paused_until - until) < 1e-9, vars(
        context.health
    )


@then("it isn't paused at {now:g} s")
def step_not_paused(context, now):
    assert context.health.paused_until <= now, vars(context.health)
