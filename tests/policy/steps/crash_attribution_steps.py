"""Steps about the attribution of crashes to tasks."""

from behave import given
from behave import then
from behave import when

from azurevane._internal.models import job as job_models
from azurevane._internal.policy import crash_attribution
from azurevane._internal.policy import isolated_starts
from azurevane._internal.policy import task_placement


def _crash(context, runner_id, pool, jobs, at, until=None, *, suspected=False):
    context.crashes.append(
        crash_attribution.RunnerCrash(
            runner_id,
            pool,
            at,
            at if until is None else until,
            frozenset(filter(None, jobs.split(","))),
            suspected,
        )
    )


@given('{count:d} runners, {size:d} of them in pool "p"')
def step_runners(context, count, size):
    context.runner_count, context.pool_size = count, size
    context.crashes = []


@given(
    'runner "{runner}" of pool "{pool}" crashes at {at:g} s while jobs'
    ' "{jobs}" start'
)
def step_crash(context, runner, pool, at, jobs):
    _crash(context, runner, pool, jobs, at)


@given(
    'runner "{runner}" of pool "{pool}" crashes at {at:g} s while jobs ""'
    " start"
)
def step_idle_crash(context, runner, pool, at):
    _crash(context, runner, pool, "", at)


@given(
    'runner "{runner}" of pool "{pool}" falls silent between {at:g} s and'
    " {until:g} s"
)
def step_silent(context, runner, pool, at, until):
    _crash(context, runner, pool, "c", at, until)


@given(
    'idle runner "{runner}" of pool "{pool}" crashes between {at:g} s and'
    " {until:g} s"
)
def step_idle(context, runner, pool, at, until):
    _crash(context, runner, pool, "", at, until)


@given("no other runner crashes")
def step_no_other(context):
    pass


@given(
    '{count:d} other runners of pool "{pool}" crash at {at:g} s while jobs'
    ' "{job}" start'
)
def step_many(context, count, pool, at, job):
    for number in range(count):
        _crash(context, f"s{number}", pool, job, at)


@given('1 suspected job crashes runner "{runner}" at {at:g} s')
def step_suspected(context, runner, at):
    _crash(context, runner, "p", "s", at, suspected=True)


def _check_cause(context, cause, job, *, on_trial):
    first, *others = context.crashes
    coinciding = crash_attribution.coinciding_crashes(first, others)
    found = crash_attribution.find_cause(
        job,
        first,
        coinciding,
        runner_count=context.runner_count,
        pool_size=context.pool_size,
        on_trial=on_trial,
    )
    assert found.value == cause, found


@then('the cause is "{cause}" for job "{job}"')
def step_cause(context, cause, job):
    _check_cause(context, cause, job, on_trial=False)


@then('the cause is "{cause}" for job "{job}" on trial')
def step_trial_cause(context, cause, job):
    _check_cause(context, cause, job, on_trial=True)


def _with_crash(history, attempt, text):
    words = text.split()
    heard_s = float(words[words.index("after") + 1]) if "after" in words else 0
    history = history.with_crash(
        attempt,
        crash_attribution.Cause(words[0]),
        alone="alone" in words,
        heard_s=heard_s,
    )
    return history.without(attempt) if "back" in words else history


@given("a task under which runners crash: {crashes}")
def step_history(context, crashes):
    context.history = crash_attribution.CrashHistory()
    for attempt, text in enumerate(crashes.split(","), 1):
        context.history = _with_crash(context.history, attempt, text)


@then("it is given up")
def step_given_up(context):
    assert context.history.exhausted, context.history


@then("it is not given up")
def step_not_given_up(context):
    assert not context.history.exhausted, context.history


@then("nothing else starts beside it for {seconds:g} s")
def step_isolated(context, seconds):
    assert (context.history.isolated_s or 0) == seconds, context.history


def _make_pool(context, count, latest_start_s):
    context.starts = isolated_starts.IsolatedStarts(
        isolated_starts.RunnerStarts(f"r{number}", latest_start_s)
        for number in range(count)
    )
    context.runner_ids = [f"r{number}" for number in range(count)]
    context.runner_by_job = {}


@given("{count:d} runners of a pool without recent starts")
def step_quiet_pool(context, count):
    _make_pool(context, count, float("inf"))


@given("{count:d} runners of a pool with starts {seconds:g} s ago")
def step_busy_pool(context, count, seconds):
    _make_pool(context, count, seconds)


@when('suspected tasks of jobs "{jobs}" look for runners')
def step_look(context, jobs):
    isolated_s = crash_attribution.PROMPT_S
    for job in jobs.split(","):
        for runner in context.runner_ids:
            if context.starts.admits(runner, job, isolated_s):
                context.starts.record_start(runner, job, isolated_s)
                context.runner_by_job[job] = runner
                break


@then('jobs "{jobs}" have found different runners')
def step_found(context, jobs):
    assert sorted(context.runner_by_job) == jobs.split(",")
    assert len(set(context.runner_by_job.values())) == len(jobs.split(","))


@then("other tasks may start on {count:d} runners")
def step_others(context, count):
    admitting = [
        runner
        for runner in context.runner_ids
        if context.starts.admits(runner, "other", None)
    ]
    assert len(admitting) == count, admitting


@when(
    "a suspected task is placed whose step has one task a runner and one on"
    " the emptiest"
)
def step_place(context):
    step = job_models.Step(
        2, job_models.Capacity(1000, 500), 1.0, max_per_runner=1
    )
    request = task_placement.StepRequest(
        job_id="a",
        occurrence=0,
        step_index=0,
        team="",
        step=step,
        waiting_indexes=(1,),
        task_count_by_runner={"r0": 1},
        isolated_s=crash_attribution.PROMPT_S,
    )
    runners = [
        task_placement.RunnerCapacity(
            runner_id, "", frozenset(), job_models.Capacity(cpu, 4000)
        )
        for runner_id, cpu in zip(
            context.runner_ids, (32000, 20000), strict=True
        )
    ]
    context.placements = task_placement.place_tasks(
        [request], runners, {}, isolated=context.starts
    )


@then("it is placed on the other runner")
def step_other_runner(context):
    runner_ids = [placement.runner_id for placement in context.placements]
    assert runner_ids == ["r1"], runner_ids
