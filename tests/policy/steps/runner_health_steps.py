"""Steps for pauses of runners on which tasks fail."""

from behave import given
from behave import then
from behave import when

from azurevane._internal.policy import runner_health


@given("a runner without failures")
def make_runner(context):
    context.health = runner_health.RunnerHealth()


@when('tasks of jobs "{jobs}" fail on it at {now:g} s')
def fail_tasks_of_jobs(context, jobs, now):
    for job_id in jobs.split(","):
        context.health.record_failure(job_id, now)


@when("a task succeeds on it")
def succeed_task(context):
    context.health.record_success()


@then("it is paused until {until:g} s")
def check_paused_until(context, until):
    assert abs(context.health.paused_until - until) < 1e-9, vars(
        context.health
    )


@then("it isn't paused at {now:g} s")
def check_runner_not_paused(context, now):
    assert context.health.paused_until <= now, vars(context.health)
