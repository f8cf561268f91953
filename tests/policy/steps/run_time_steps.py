"""Steps about learned run times."""

import dataclasses
import heapq
import random

from behave import given
from behave import then
from behave import when

from azurevane._internal.policy import job_order
from azurevane._internal.policy import run_times

KEY = "image a"
# Relative spread of the run times of an image's tasks.
SPREAD = 0.3


def _table(context):
    if "run_time_table" not in context:
        context.run_time_table = run_times.RunTimeTable()
        context.rng = random.Random(3)
        context.steps_recorded = 0
    return context.run_time_table


def _record(context, ratio, step=None):
    table = _table(context)
    declared_s = context.rng.uniform(0.2, 5.0)
    spread = context.rng.lognormvariate(0.0, SPREAD)
    context.steps_recorded += 1
    table.record(
        KEY,
        step or context.steps_recorded,
        declared_s,
        declared_s * ratio * spread,
        alike=True,
    )


@when("{count:d} runs take about {ratio:g} times the declared time")
def step_runs(context, count, ratio):
    _table(context)
    for _ in range(count):
        _record(context, ratio)
    context.ratio = ratio


@when(
    "{tails:d} of {count:d} further runs take {factor:g} times and {slow:d}"
    " take {slowness:g} times as long"
)
def step_outliers(context, tails, count, factor, slow, slowness):
    factors = [factor] * tails + [slowness] * slow
    factors += [1.0] * (count - len(factors))
    context.rng.shuffle(factors)
    for own_factor in factors:
        _record(context, context.ratio * own_factor)


@when("{count:d} runs of one step take {slowness:g} times as long")
def step_slow_step(context, count, slowness):
    for _ in range(count):
        _record(context, context.ratio * slowness, "slow step")


@when(
    "{count:d} steps of {tasks:d} tasks are declared wrongly, each by up to"
    " {factor:g} either way"
)
def step_wrong_steps(context, count, tasks, factor):
    table = _table(context)
    context.medians = []
    for number in range(count):
        ratio = factor ** context.rng.uniform(-1.0, 1.0)
        for _ in range(tasks):
            spread = context.rng.lognormvariate(0.0, SPREAD)
            table.record("queue", number, 1.0, ratio * spread, alike=False)
        context.medians.append(table.median("queue"))


@then("the expected ratio stays between {low:g} and {high:g}")
def step_stays(context, low, high):
    assert low <= min(context.medians), min(context.medians)
    assert max(context.medians) <= high, max(context.medians)


@when("each of {count:d} images ends one run")
def step_images(context, count):
    for number in range(count):
        _table(context).record(f"image {number}", 0, 1.0, 2.0, alike=True)


@then("the expected ratio is {ratio:g} after {runs:d} runs")
def step_ratio(context, ratio, runs):
    estimate = _table(context).estimate(KEY)
    assert (estimate.median, estimate.runs) == (ratio, runs), estimate


@then("the expected ratio is within a quarter of {ratio:g}")
def step_near(context, ratio):
    estimate = _table(context).estimate(KEY)
    assert abs(estimate.median - ratio) <= 0.25 * ratio, estimate


@then("between {low:g} and {high:g} of the runs are in the tail")
def step_tail(context, low, high):
    estimate = _table(context).estimate(KEY)
    assert low <= estimate.tail_share <= high, estimate


@then("run times of at most {count:d} images are kept, of the latest ones")
def step_bounded(context, count):
    kept = [
        number
        for number in range(1000)
        if _table(context).estimate(f"image {number}").runs
    ]
    assert kept == list(range(1000 - count, 1000)), (len(kept), kept[:1])


@dataclasses.dataclass
class _Job:
    """A job of one task in the load model."""

    queue: str
    arrived_at: float
    run_s: float
    declared_s: float
    objective_at: float


@given(
    "{slots:d} slots, and a burst of {load:g} times their capacity for"
    " {seconds:d} s with one of two queues declared at a third of its run time"
)
def step_burst(context, slots, load, seconds):
    rng = random.Random(5)
    context.slots, context.jobs = slots, []
    work_s = 0.0
    while work_s < slots * load * seconds:
        queue = rng.choice(("known", "short"))
        run_s = rng.uniform(0.5, 3.0)
        at = rng.uniform(0.0, seconds)
        declared_s = run_s / 3 if queue == "short" else run_s
        context.jobs.append(
            _Job(queue, at, run_s, declared_s, at + 1.6 * run_s + 0.6)
        )
        work_s += run_s
    context.jobs.sort(key=lambda job: job.arrived_at)


def _work_in_time(context, expected_s, record):
    """Return the run time of the jobs that end in time.

    Args:
        expected_s: returns the run time of a job that the order assumes.
        record: called with each job that ends.
    """
    free_at = [0.0] * context.slots
    heapq.heapify(free_at)
    waiting, ending, in_time_s, number = [], [], 0.0, 0
    while number < len(context.jobs) or waiting:
        now = heapq.heappop(free_at)
        if not waiting:
            now = max(now, context.jobs[number].arrived_at)
        while (
            number < len(context.jobs)
            and context.jobs[number].arrived_at <= now
        ):
            waiting.append(context.jobs[number])
            number += 1
        while ending and ending[0][0] <= now:
            record(heapq.heappop(ending)[2])
        waiting.sort(
            key=lambda job, now=now: job_order.order_key(
                job_order.JobOrderInput(
                    priority=0,
                    beyond_share=False,
                    begun=False,
                    long_running=False,
                    arrived_at=job.arrived_at,
                    objective_at=job.objective_at,
                    remaining_s=expected_s(job),
                ),
                now,
            )
        )
        job = waiting.pop(0)
        end = now + job.run_s
        heapq.heappush(free_at, end)
        heapq.heappush(ending, (end, id(job), job))
        if end <= job.objective_at:
            in_time_s += job.run_s
    return in_time_s


@then("learned run times bring more work in time than the declared ones")
def step_learned(context):
    table = run_times.RunTimeTable()
    context.learned_s = _work_in_time(
        context,
        lambda job: job.declared_s * table.estimate(job.queue).median,
        lambda job: table.record(
            job.queue, id(job), job.declared_s, job.run_s, alike=True
        ),
    )
    declared_s = _work_in_time(
        context, lambda job: job.declared_s, lambda job: None
    )
    assert context.learned_s > declared_s, (context.learned_s, declared_s)


@then("at least {share:g} of what known run times would")
def step_bound(context, share):
    known_s = _work_in_time(context, lambda job: job.run_s, lambda job: None)
    assert context.learned_s >= share * known_s, (context.learned_s, known_s)
