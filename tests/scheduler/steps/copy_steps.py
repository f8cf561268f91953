"""Steps about copies of tasks."""

from behave import given
from behave import then
from behave import when

from azurevane._internal.models import job as job_models
from azurevane._internal.models import scheduling_settings
from azurevane._internal.scheduler import records
from azurevane._internal.scheduler import runs
from azurevane._internal.standins import site_runner
from support import site_world

JOB_ID = "00000000000000f1"
OTHER_JOB_ID = "00000000000000f2"
TASK = f"{JOB_ID}.0.0.0"


@given(
    'a site with queue "{queue}" on {count:d} hosts that starts copies of slow'
    " tasks"
)
def step_site(context, queue, count):
    _make_site(context, queue, count, copies=True)


@given(
    'a site with queue "{queue}" on {count:d} hosts that starts copies and'
    " learns run times"
)
def step_learning_site(context, queue, count):
    _make_site(context, queue, count, copies=True, learned_run_times=True)


def _make_site(context, queue, count, **flags):
    world = site_world.SiteWorld()
    world.add_service("press")
    world.add_queue(queue, "press")
    world.add_machines(count, "press")
    world.start(scheduling=scheduling_settings.SchedulingSettings(**flags))
    context.world, context.queue = world, queue


@given(
    "tasks that run {seconds:g} s, but the first run of task 0 runs {slow:g} s"
)
def step_tail(context, seconds, slow):
    context.plan_by_attempt = {1: site_runner.TaskPlan(slow)}
    context.other_jobs_s = seconds

    def plan(task, attempt):
        if task == TASK and attempt in context.plan_by_attempt:
            return context.plan_by_attempt[attempt]
        own = task.startswith(JOB_ID)
        return site_runner.TaskPlan(seconds if own else context.other_jobs_s)

    context.world.platform.plan_task = plan


@given("the second run of task 0 runs {seconds:g} s")
def step_second(context, seconds):
    context.plan_by_attempt[2] = site_runner.TaskPlan(seconds)


@given("the {which} run of task 0 fails after {seconds:g} s")
def step_fails(context, which, seconds):
    attempt = {"first": 1, "second": 2}[which]
    context.plan_by_attempt[attempt] = site_runner.TaskPlan(seconds, "failed")


@given("the second run of task 0 ends when the first does")
def step_same_end(context):
    plan = context.world.platform.plan_task

    def plan_second(task, attempt):
        if task != TASK or attempt != 2:
            return plan(task, attempt)
        (first,) = context.world.task_starts(TASK)
        ran_s = context.world.clock.seconds() - first[0]
        return site_runner.TaskPlan(context.plan_by_attempt[1].run_s - ran_s)

    context.world.platform.plan_task = plan_second


@given("tasks of other jobs run {seconds:g} s")
def step_other_jobs(context, seconds):
    context.other_jobs_s = seconds


@given("tasks may fail {count:d} time")
@given("tasks may fail {count:d} times")
def step_attempts(context, count):
    config = context.world.config
    config["version"] += 1
    config["routes"][0]["attempts"] = count
    context.world.put_config()
    context.world.advance_time(0.5)


def _submit(context, count, **fields):
    phase = {"count": count, "cpu": 1000, "memMb": 500, "estimateMs": 900}
    response = context.world.submit_job(
        context.queue, JOB_ID, [{**phase, **fields}]
    )
    assert response.status == 200, response


@when("a speculative job of {count:d} tasks is submitted")
def step_submit(context, count):
    _submit(context, count, speculative=True)


@when("a job of {count:d} tasks that isn't speculative is submitted")
def step_submit_plain(context, count):
    _submit(context, count)


@when("{count:d} tasks of {cpu:d} millicores are submitted besides")
def step_fill(context, count, cpu):
    phase = {"count": count, "cpu": cpu, "memMb": 500, "estimateMs": 30000}
    response = context.world.submit_job(context.queue, OTHER_JOB_ID, [phase])
    assert response.status == 200, response


def _runs_of_task(context):
    """Return runner and attempt of each run of the task that goes on."""
    return [
        (runner, runner.task_by_name[TASK].attempt)
        for runner in context.world.platform.runner_by_address.values()
        if TASK in runner.task_by_name
    ]


@when("the second run of task 0 ends")
def step_until_end(context):
    world = context.world
    while not any(
        entry[1] == "done" and entry[3:] == (TASK, 2)
        for entry in world.platform.record
    ):
        world.advance_time(site_world.STEP_S)


def _leader_state(context):
    world = context.world
    return world.host_by_name[world.leader_name].leader.scheduler_state


@when("the leader knows of it")
def step_leader_knows(context):
    while not _leader_state(context).job_by_id[JOB_ID].complete:
        context.world.advance_time(site_world.STEP_S)


@then('team "{team}" has {cpu:d} millicores left')
def step_left(context, team, cpu):
    free = _leader_state(context).free_capacity_by_team()[team]
    assert free.cpu == cpu, free


@when("the answer to the next command to each runner is lost")
def step_lose_answer(context):
    for runner in context.world.platform.runner_by_address.values():
        runner.answers_to_lose = 1


def _crash(context, attempts):
    runs = _runs_of_task(context)
    assert attempts <= {attempt for _, attempt in runs}, runs
    for runner, attempt in runs:
        if attempt in attempts:
            runner.crash()
            context.world.platform.unregister(runner)


@when("the runner of the first run of task 0 crashes")
def step_crash_first(context):
    _crash(context, {1})


@when("the runner of the second run of task 0 crashes")
def step_crash_second(context):
    _crash(context, {2})


@when("the runners of both runs of task 0 crash")
def step_crash_both(context):
    _crash(context, {1, 2})


def _runner_of_first(context):
    return next(
        runner for runner, attempt in _runs_of_task(context) if attempt == 1
    )


@when("the runner of the first run of task 0 starts to drain")
def step_drain(context):
    runner = _runner_of_first(context)
    runner.state = "draining"
    context.world.platform.register(runner)


@when("the runner of the first run of task 0 stalls")
def step_stall(context):
    _runner_of_first(context).stall_tasks()


@given("the stored state of a task as earlier versions wrote it")
def step_stored(context):
    context.stored = b'["running",[[0,0,0,2,3,"i-1",[1],""]]]'


@given("the stored state of a task with a copy")
def step_stored_copy(context):
    context.stored = b'["running",[[0,0,0,2,3,"i-1",[1],"",5,5,"i-2"]]]'


def _restore(context):
    step = job_models.Step(1, job_models.Capacity(1000, 500), 0.9)
    job = job_models.Job(JOB_ID, "fit", "press", "north", "x", (step,), 0.0)
    state = runs.JobState(job, now=0.0, arrived_at=0.0, objective_at=2.0)
    records.restore_state(state, context.stored)
    return state


@then("it is read as a run with attempt {attempt:d} and no copy")
def step_read_plain(context, attempt):
    (run,) = _restore(context).runs_occupying_capacity()
    assert (run.attempt, run.last_attempt) == (attempt, attempt), run.attempt
    assert run.runner_id == "i-1", run.runner_id


@then("the same task is stored in the same format")
def step_same_format(context):
    state = _restore(context)
    next(state.all_runs()).phase = runs.Phase.RUNNING
    stored = records.encode_state(state)
    assert stored == context.stored, stored


@then(
    "it is read as a run with attempt {attempt:d} and a copy with attempt"
    " {copy_attempt:d}"
)
def step_read_copy(context, attempt, copy_attempt):
    run, copy = _restore(context).runs_occupying_capacity()
    assert (run.attempt, run.last_attempt) == (attempt, copy_attempt)
    assert (copy.attempt, copy.runner_id) == (copy_attempt, "i-2")
    assert copy.is_copy and copy.inherited and not run.is_copy


@then("{count:d} runs of task 0 go on")
def step_runs(context, count):
    assert len(_runs_of_task(context)) == count, _runs_of_task(context)


@then("task 0 started {count:d} times, on different runners")
def step_starts(context, count):
    starts = context.world.task_starts(TASK)
    assert len(starts) == count, starts
    assert len({entry[2] for entry in starts}) == count, starts


@then("each start of task 0 had a higher attempt than those before")
def step_rising(context):
    attempts = [entry[4] for entry in context.world.task_starts(TASK)]
    assert attempts == sorted(set(attempts)), attempts
    assert len(attempts) > 2, attempts


@then("each other task started once")
def step_others_once(context):
    names = [
        entry[3]
        for entry in context.world.task_starts(JOB_ID)
        if entry[3] != TASK
    ]
    assert len(names) == len(set(names)) > 0, names


@then("every end was acknowledged")
def step_ends_seen(context):
    record = context.world.platform.record
    ended = {
        entry[2:]
        for entry in record
        if entry[1] in ("done", "failed", "stopped", "lapsed")
    }
    seen = {entry[2:] for entry in record if entry[1].startswith("seen")}
    assert ended and ended <= seen, ended - seen


@given("tasks that run {seconds:g} s, but task 0 of each job runs {slow:g} s")
def step_long_tasks(context, seconds, slow):
    context.stream_ids = []
    context.world.platform.plan_task = lambda task, attempt: (
        site_runner.TaskPlan(slow if task.endswith(".0") else seconds)
    )


@when(
    "{count:d} speculative jobs of {tasks:d} tasks are submitted over"
    " {seconds:g} s"
)
def step_stream(context, count, tasks, seconds):
    phase = {
        "count": tasks,
        "cpu": 1000,
        "memMb": 500,
        "estimateMs": 1000,
        "speculative": True,
    }
    first = len(context.stream_ids)
    for number in range(first, first + count):
        job_id = f"{number + 0xC000:016x}"
        context.stream_ids.append(job_id)
        response = context.world.submit_job(context.queue, job_id, [phase])
        assert response.status == 200, response
        context.world.advance_time(seconds / count)


@when("a runner works at a sixth of the speed from now on")
def step_slow_runner(context):
    starts = context.world.task_starts()
    runners = context.world.platform.runner_by_address.values()
    context.slow_runner = next(
        runner for runner in runners if runner.id == starts[-1][2]
    )
    context.slow_runner.slowness = 6.0


@then("at most {count:d} copies were started")
def step_few_copies(context, count):
    copied = [e for e in context.world.task_starts() if e[4] > 1]
    assert 0 < len(copied) <= count, len(copied)


@then('each of these jobs is "{state}"')
def step_stream_states(context, state):
    states = {
        context.world.job_state(context.queue, job_id)
        for job_id in context.stream_ids
    }
    assert states == {state}, states


@then("at least {count:d} copies of tasks on that runner ended first")
def step_copies_won(context, count):
    record = context.world.platform.record
    there = {
        entry[3]
        for entry in record
        if entry[1] == "start"
        and entry[2:] == (context.slow_runner.id, entry[3], 1)
    }
    won = [e for e in record if e[1] == "done" and e[4] > 1 and e[3] in there]
    assert len(won) >= count, len(won)
