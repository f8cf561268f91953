"""Steps about learned run times."""

from behave import given
from behave import then
from behave import when

from azurevane._internal.models import job as job_models
from azurevane._internal.models import scheduling_settings
from azurevane._internal.policy import runner_speeds
from azurevane._internal.scheduler import records
from azurevane._internal.scheduler import runs
from support import site_world


@given('a site with queue "{queue}" on {count:d} hosts that learns run times')
def step_site(context, queue, count):
    world = site_world.SiteWorld()
    world.add_service("press")
    world.add_queue(queue, "press")
    world.add_machines(count, "press")
    world.start(
        scheduling=scheduling_settings.SchedulingSettings(
            learned_run_times=True
        )
    )
    context.world, context.queue = world, queue


def _run_jobs(context, jobs, tasks, declared_s, rack=""):
    phase = {
        "count": tasks,
        "cpu": 1000,
        "memMb": 500,
        "estimateMs": round(declared_s * 1000),
        "affinity": rack,
    }
    context.job_ids = [f"{number + 0xE00:016x}" for number in range(jobs)]
    for job_id in context.job_ids:
        response = context.world.submit_job(context.queue, job_id, [phase])
        assert response.status == 200, response
        context.world.advance_time(0.1)
    context.world.advance_time(4.0)
    for job_id in context.job_ids:
        state = context.world.job_state(context.queue, job_id)
        assert state == "completed", state


@when(
    "{jobs:d} jobs of {tasks:d} tasks declared at {declared:g} s run to their"
    " end"
)
def step_run_jobs(context, jobs, tasks, declared):
    _run_jobs(context, jobs, tasks, declared)


@when(
    "{jobs:d} jobs of {tasks:d} tasks declared at {declared:g} s with their"
    ' data in rack "{rack}" run to their end'
)
def step_run_remote_jobs(context, jobs, tasks, declared, rack):
    _run_jobs(context, jobs, tasks, declared, rack)


def _leader_state(context):
    world = context.world
    return world.host_by_name[world.leader_name].leader.scheduler_state


def _job(context, declared_s, image=""):
    step = job_models.Step(
        8, job_models.Capacity(1000, 500), declared_s, image=image
    )
    return job_models.Job(
        "0000000000000fff",
        context.queue,
        "press",
        "north",
        "x",
        (step,),
        context.world.clock.seconds() + 1e9,
        objective_s=1.0,
    )


@then(
    "tasks declared at {declared:g} s are expected to run between {low:g} and"
    " {high:g} s"
)
def step_expected(context, declared, low, high):
    job = _job(context, declared)
    expected_s = _leader_state(context).expected_run_s(job, job.steps[0])
    assert low <= expected_s <= high, expected_s


@then(
    'tasks of image "{image}" declared at {declared:g} s are expected to run'
    " {seconds:g} s"
)
def step_expected_of_image(context, image, declared, seconds):
    job = _job(context, declared, image)
    expected_s = _leader_state(context).expected_run_s(job, job.steps[0])
    assert expected_s == seconds, expected_s


@then("a job of such tasks is due {low:g} to {high:g} s after its arrival")
def step_due(context, low, high):
    state = _leader_state(context)
    now = context.world.clock.seconds()
    job = _job(context, 0.5)
    state.add_job(job, now=now, unix_now=now + 1e9)
    due_s = state.job_by_id[job.id].objective_at - now
    assert low <= due_s <= high, due_s


@then("no task was started by the new leader")
def step_no_start(context):
    attempts = {entry[4] for entry in context.world.task_starts()}
    state = _leader_state(context)
    assert attempts == {1}, attempts
    assert all(job.status.ended for job in state.job_by_id.values())


def _begun_run(checkpoint=""):
    step = job_models.Step(
        1, job_models.Capacity(1000, 500), 2.0, checkpointing=True
    )
    job = job_models.Job("f" * 16, "fit", "press", "", "x", (step,), 0.0)
    state = runs.JobState(job, now=0.0, arrived_at=0.0, objective_at=4.0)
    run = next(state.all_runs())
    run.checkpoint = checkpoint
    run.assign("i-1", 1)
    run.phase = runs.Phase.RUNNING
    run.acknowledged_at = 10.0
    return run


@given("a run that began with a checkpoint, or was first seen half done")
def step_resumed(context):
    resumed = _begun_run("0001")
    resumed.record_progress(40, 10.5)
    unseen = _begun_run("0001")
    inherited = _begun_run()
    inherited.acknowledged_at = 0.0
    inherited.record_progress(50, 11.0)
    inherited.acknowledged_at = 11.0
    context.partial_runs = [resumed, unseen, inherited]


@then("it counts for no run time")
def step_no_run_time(context):
    times = [run.whole_run_s(12.0) for run in context.partial_runs]
    assert times == [None, None, None], times
    whole = _begun_run()
    whole.record_progress(40, 10.5)
    whole.checkpoint = "0001"
    assert whole.whole_run_s(12.0) == 2.0, whole.whole_run_s(12.0)


@then("the rows of ended jobs hold their status only")
def step_rows(context):
    for job_id in context.job_ids:
        value = context.world.platform.store.value(
            records.STATE_TABLE, records.LEADER_PARTITION, job_id
        )
        assert value == b'["completed",[]]', value


def _runners(context):
    return list(context.world.platform.runner_by_address.values())


@given("1 runner works at a sixth of the speed")
def step_slow_runner(context):
    context.slow_runner = _runners(context)[0]
    context.slow_runner.slowness = 6.0


@given("all runners work at a sixth of the speed")
def step_all_slow(context):
    for runner in _runners(context):
        runner.slowness = 6.0


@when("the slow runner works at full speed again")
def step_sound_again(context):
    context.slow_runner.slowness = 1.0


@when(
    "{count:d} jobs of {tasks:d} tasks declared at {declared:g} s are"
    " submitted over {seconds:g} s"
)
def step_stream(context, count, tasks, declared, seconds):
    phase = {
        "count": tasks,
        "cpu": 1000,
        "memMb": 500,
        "estimateMs": round(declared * 1000),
    }
    if "stream_ids" not in context:
        context.stream_ids = []
    first = len(context.stream_ids)
    for number in range(first, first + count):
        job_id = f"{number + 0xF000:016x}"
        context.stream_ids.append(job_id)
        response = context.world.submit_job(context.queue, job_id, [phase])
        assert response.status == 200, response
        context.world.advance_time(seconds / count)


@then('all of these jobs are "{state}"')
def step_stream_state(context, state):
    states = {
        context.world.job_state(context.queue, job_id)
        for job_id in context.stream_ids
    }
    assert states == {state}, states


@then("the slow runner got under {share:g} of the starts")
def step_slow_share(context, share):
    starts = context.world.task_starts()
    there = sum(entry[2] == context.slow_runner.id for entry in starts)
    assert 0 < there < share * len(starts), (there, len(starts))


@then("only that runner is very slow")
def step_logged(context):
    state = _leader_state(context)
    slow = [
        runner.id
        for runner in state.runner_by_id.values()
        if runner.speed.slowness(context.world.clock.seconds())
        > runner_speeds.VERY_SLOW
    ]
    assert slow == [context.slow_runner.id], slow


@then("the slow runner got a task in the last {seconds:g} s")
def step_used_again(context, seconds):
    since = context.world.clock.seconds() - seconds
    starts = [
        entry
        for entry in context.world.task_starts()
        if entry[2] == context.slow_runner.id and entry[0] >= since
    ]
    assert starts, "no start"
