"""Steps about runners and jobs whose tasks fail or stall."""

from behave import given
from behave import then
from behave import when

from azurevane._internal.standins import site_runner

JOB_IDS = [f"{number + 0xD00:016x}" for number in range(40)]


@given("{count:d} runner fails every task that it starts")
def step_failing(context, count):
    runners = list(context.world.platform.runner_by_address.values())
    context.failing = runners[:count]
    for runner in context.failing:
        runner.fails_all_tasks = True


@given('tasks of jobs that end in "{end}" always fail')
def step_always_failing(context, end):
    def plan(task, attempt):
        if task.partition(".")[0].endswith(end):
            return site_runner.TaskPlan(0.2, "failed")
        return site_runner.TaskPlan(0.5)

    context.world.platform.plan_task = plan


@given("the first attempt of each task fails after {seconds:g} s")
def step_first_fails(context, seconds):
    context.world.platform.plan_task = lambda task, attempt: (
        site_runner.TaskPlan(seconds, "failed" if attempt == 1 else "done")
    )


def _states(context):
    return {
        job_id: context.world.job_state(context.queue, job_id)
        for job_id in JOB_IDS
    }


@then('all jobs are "{state}"')
def step_all(context, state):
    other = {k: v for k, v in _states(context).items() if v != state}
    assert not other, other


@then('all jobs that don\'t end in "{end}" are "{state}"')
def step_all_but(context, end, state):
    other = {
        job_id: actual
        for job_id, actual in _states(context).items()
        if actual != state and not job_id.endswith(end)
    }
    assert not other, other


@then("the failing runner got fewer than {count:d} starts")
def step_few_starts(context, count):
    ids = {runner.id for runner in context.failing}
    starts = [
        entry for entry in context.world.task_starts() if entry[2] in ids
    ]
    assert starts, "no task started there"
    assert len(starts) < count, len(starts)


@when("all tasks of a runner stall")
def step_stall(context):
    runners = context.world.platform.runner_by_address.values()
    next(runner for runner in runners if runner.task_by_name).stall_tasks()
