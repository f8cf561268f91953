"""Steps about availability budgets: tasks that may be unavailable."""

from behave import given
from behave import then

from azurevane._internal.models import job as job_models
from azurevane._internal.scheduler import availability
from azurevane._internal.scheduler import runs


def _make_step(context, count, budget):
    step = job_models.Step(
        count=count,
        need=job_models.Capacity(1000, 100),
        estimate_s=0.0,
        long_running=True,
        max_unavailable=budget,
    )
    job = job_models.Job("0" * 16, "q", "s", "", "", (step,), 0.0)
    state = runs.JobState(job, now=0.0, arrived_at=0.0, objective_at=1.0)
    context.members = state.runs_by_step[0, 0]
    for run in context.members:
        run.assign("i-1", 1)
        run.phase = runs.Phase.RUNNING
        run.percent = 100


@given(
    "a step of {count:d} serving long-running tasks with a budget of"
    " {budget:d}"
)
def step_with_budget(context, count, budget):
    _make_step(context, count, budget)


@given("a step of {count:d} serving long-running tasks without a budget")
def step_without_budget(context, count):
    _make_step(context, count, None)


@given("task {index:d} was stopped")
def step_stopped(context, index):
    context.members[index].phase = runs.Phase.STOPPING


@given("task {index:d} last reported {percent:d} percent")
def step_percent(context, index, percent):
    context.members[index].percent = percent


@then("task {index:d} may be stopped")
def step_may(context, index):
    assert availability.may_stop(context.members[index], 0.0)


@then("task {index:d} may not be stopped")
def step_may_not(context, index):
    assert not availability.may_stop(context.members[index], 0.0)
