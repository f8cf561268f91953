"""Steps about speeds of runners."""

import heapq
import random

from behave import given
from behave import then
from behave import when

from azurevane._internal.models import job as job_models
from azurevane._internal.policy import runner_speeds
from azurevane._internal.policy import task_placement

STEP_TASKS = 4
# Load model: time after which a run's progress is reported, and the kinds of
# events.
REPORT_S = 0.5
_ARRIVAL, _REPORT, _END = range(3)


def _speed(context):
    if "runner_speed" not in context:
        context.runner_speed = runner_speeds.RunnerSpeed()
        context.now, context.steps = 1000.0, 0
    return context.runner_speed


def _record_step(context, slowness_of_tasks):
    speed = _speed(context)
    context.now += 0.1
    context.steps += 1
    for index, slowness in enumerate(slowness_of_tasks):
        speed.record(context.steps, index, slowness, context.now)


@when("tasks of {count:d} steps take {slowness:g} times the expected time")
def step_steps(context, count, slowness):
    for _ in range(count):
        _record_step(context, [slowness] * STEP_TASKS)


@when("{count:d} tasks of one step take {slowness:g} times the expected time")
def step_one(context, count, slowness):
    _record_step(context, [slowness] * count)


@when(
    "{share:d} in 100 of the tasks of {count:d} steps take {slowness:g} times"
    " the expected time"
)
def step_tails(context, share, count, slowness):
    rng = random.Random(2)
    for _ in range(count):
        _record_step(
            context,
            [
                slowness if rng.random() < share / 100 else 1.0
                for _ in range(STEP_TASKS)
            ],
        )


@when("{seconds:g} s pass without tasks")
def step_pass(context, seconds):
    context.now += seconds


@then("the runner is very slow")
def step_very_slow(context):
    slowness = _speed(context).slowness(context.now)
    assert slowness > runner_speeds.VERY_SLOW, slowness


@then("the runner isn't slow")
def step_not_slow(context):
    slowness = _speed(context).slowness(context.now)
    assert slowness <= runner_speeds.SLOW, slowness


@given('a runner "{name}" of slowness {slowness:g} with {cores:d} cores free')
def step_runner(context, name, slowness, cores):
    if "speed_runners" not in context:
        context.speed_runners = []
    context.speed_runners.append(
        task_placement.RunnerCapacity(
            name,
            "r-1",
            frozenset(),
            job_models.Capacity(cores * 1000, 100000),
            slowness,
        )
    )


def _place(runners, bearable):
    request = task_placement.StepRequest(
        job_id="a",
        occurrence=0,
        step_index=0,
        team="",
        step=job_models.Step(1, job_models.Capacity(1000, 500), 1.0),
        waiting_indexes=(0,),
        task_count_by_runner={},
        bearable_slowness=bearable,
    )
    placements = task_placement.place_tasks([request], runners, {})
    return placements[0].runner_id if placements else None


@then('a task that bears a slowness of {bearable:g} goes to "{name}"')
def step_goes(context, bearable, name):
    chosen = _place(context.speed_runners, bearable)
    assert chosen == name, chosen


@given(
    "{count:d} runners of {slots:d} slots of which one has a sixth of the"
    " speed"
)
def step_pool(context, count, slots):
    context.pool_slots = slots
    context.pool_slowness = [6.0] + [1.0] * (count - 1)


@given("a load of {load:g} of what the others can run, for {seconds:g} s")
def step_load(context, load, seconds):
    rng = random.Random(4)
    slots = context.pool_slots * (len(context.pool_slowness) - 1)
    context.pool_jobs, work_s = [], 0.0
    while work_s < load * slots * seconds:
        run_s = rng.lognormvariate(-0.2, 0.5)
        context.pool_jobs.append((rng.uniform(0.0, seconds), run_s))
        work_s += STEP_TASKS * run_s
    context.pool_jobs.sort()


def _share_in_time(context, learn, *, known=False):
    """Return the share of jobs in time; each job is a step of few tasks.

    Args:
        known: whether the slow runners are left out from the beginning.
    """
    slowness = context.pool_slowness
    free = [
        0 if known and runner_slowness > 1.0 else context.pool_slots
        for runner_slowness in slowness
    ]
    speeds = [runner_speeds.RunnerSpeed() for _ in slowness]
    events = [
        (at, _ARRIVAL, job) for job, (at, _) in enumerate(context.pool_jobs)
    ]
    heapq.heapify(events)
    ends_by_job, waiting = {}, []
    while events:
        now, kind, item = heapq.heappop(events)
        if kind:
            runner, job, index = item
            free[runner] += kind == _END
            speeds[runner].record(job, index, slowness[runner], now)
        else:
            waiting += [(item, index) for index in range(STEP_TASKS)]
        while waiting:
            job, index = waiting[0]
            at, run_s = context.pool_jobs[job]
            runner = _choose(speeds, free, at, run_s, now, learn)
            if runner is None:
                break
            waiting.pop(0)
            free[runner] -= 1
            end = now + run_s * slowness[runner]
            run = runner, job, index
            heapq.heappush(events, (end, _END, run))
            if end > now + REPORT_S:
                heapq.heappush(events, (now + REPORT_S, _REPORT, run))
            ends_by_job.setdefault(job, []).append(end)
    in_time = sum(
        max(ends) <= context.pool_jobs[job][0] + _objective_s(job, context)
        for job, ends in ends_by_job.items()
    )
    return in_time / len(context.pool_jobs)


def _objective_s(job, context):
    return 1.6 * context.pool_jobs[job][1] + 0.6


def _choose(speeds, free, at, run_s, now, learn):
    runners = [
        task_placement.RunnerCapacity(
            str(number),
            "r-1",
            frozenset(),
            job_models.Capacity(free[number] * 1000, 100000),
            speed.slowness(now) if learn else 1.0,
        )
        for number, speed in enumerate(speeds)
        if not learn or speed.slowness(now) <= runner_speeds.VERY_SLOW
    ]
    bearable = (at + 1.6 * run_s + 0.6 - now) / (1.25 * run_s)
    chosen = _place(runners, bearable)
    return None if chosen is None else int(chosen)


@then("at least {share:g} of the jobs end in time when speeds are learned")
def step_learned(context, share):
    got = _share_in_time(context, learn=True)
    assert got >= share, got


@then("under {share:g} of them without")
def step_without(context, share):
    got = _share_in_time(context, learn=False)
    assert got < share, got


@then("at least {share:g} of those that do when speeds are known")
def step_known(context, share):
    bound = _share_in_time(context, learn=False, known=True)
    got = _share_in_time(context, learn=True)
    assert got >= share * bound, (got, bound)
