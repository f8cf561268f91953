"""Steps about tasks that crash their runners."""

from behave import given
from behave import then
from behave import when

from azurevane._internal.standins import site_runner


def crashes_by_task(context):
    """Return how many runners crashed under each task, by its name."""
    count_by_task = {}
    for _, event, _runner, task, _attempt in context.world.platform.record:
        if event == "crashed":
            count_by_task[task] = count_by_task.get(task, 0) + 1
    return count_by_task


@given('task {index:d} of job "{job_id}" crashes its runner after {after:g} s')
def step_crashes(context, index, job_id, after):
    platform = context.world.platform
    plan_others = platform.plan_task
    crashing = f"{job_id}.0.0.{index}"

    def plan(task, attempt):
        if task == crashing:
            return site_runner.TaskPlan(after, site_runner.CRASH)
        return plan_others(task, attempt)

    platform.plan_task = plan


@then(
    'at most {count:d} runners crashed under task {index:d} of job "{job_id}"'
)
def step_crashes_at_most(context, count, index, job_id):
    crashes = crashes_by_task(context).get(f"{job_id}.0.0.{index}", 0)
    assert 0 < crashes <= count, crashes


@when("a busy runner crashes for {down:g} s")
def step_busy_crashes(context, down):
    platform = context.world.platform
    runner = next(
        runner
        for runner in platform.runner_by_address.values()
        if runner.task_by_name
    )
    platform.crash_host(runner, down_s=down)
