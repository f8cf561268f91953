"""Steps for hopeless jobs, long waits and large jobs."""

import dataclasses
import statistics

from behave import given
from behave import then

from azurevane._internal.policy import job_order
from support import job_load

NOW = 1000.0
# A pool of 16 hosts of 16 cores; a play of 100 s stays short.
SMALL_POOL_CPU = 256000
POOL_CPU = 2048000


def _change_last_job(context, **fields):
    inputs = context.job_input_by_name
    inputs[context.last_job] = dataclasses.replace(
        inputs[context.last_job], **fields
    )


@given("its queue has priority {priority:d}")
def set_priority(context, priority):
    _change_last_job(context, priority=priority)


@given("it runs until it is cancelled")
def set_long_running(context):
    _change_last_job(context, long_running=True)


@then('the hopeless jobs are "{names}"')
def check_hopeless(context, names):
    got = [
        name
        for name, job in context.job_input_by_name.items()
        if job_order.is_hopeless(job, NOW)
    ]
    assert ", ".join(got) == names, got


@given(
    "{teams:d} teams of skewed sizes whose jobs ask {load:g} times a small"
    " pool's room for {seconds:g} s"
)
def play_long_overload(context, teams, load, seconds):
    context.plays = []
    for bounded in (True, False):
        jobs, _ = job_load.make_jobs(
            1,
            kind=job_load.SHORT,
            cpu=SMALL_POOL_CPU,
            load=load,
            seconds=seconds,
            parts=job_load.skewed_weights(teams, skew=1.0),
        )
        job_load.Pool(
            SMALL_POOL_CPU, job_order.order_key, bounded=bounded
        ).play(jobs)
        context.plays.append(jobs)


def _longest_s(jobs, arrived_before):
    return max(
        job.ended_at - job.arrived_at
        for job in jobs
        if job.arrived_at < arrived_before
    )


@then("every job of the first {first:g} s ends within {most:g} s")
def check_longest(context, first, most):
    context.first = first
    got = _longest_s(context.plays[0], first)
    assert got <= most, got


@then("without the limit on the wait one takes over {least:g} s")
def check_unbounded(context, least):
    got = _longest_s(context.plays[1], context.first)
    assert got > least, got


@then("the jobs in time are at most {loss:g} fewer for it")
def check_loss(context, loss):
    bounded, unbounded = map(job_load.fraction_in_time, context.plays)
    assert bounded >= unbounded - loss, (bounded, unbounded)


@given(
    "{teams:d} teams of skewed sizes whose jobs ask {load:g} times a pool's"
    " room"
)
def set_load(context, teams, load):
    context.load = load
    context.parts = job_load.skewed_weights(teams, skew=1.0)


def _plays(context):
    if not hasattr(context, "plays"):
        context.plays = []
        for seed in range(4):
            jobs, _ = job_load.make_jobs(
                seed,
                kind=job_load.SHORT,
                cpu=POOL_CPU,
                load=context.load,
                seconds=8.0,
                parts=context.parts,
            )
            key = job_order.order_key
            job_load.Pool(POOL_CPU, key).play(jobs)
            context.plays.append(jobs)
    return context.plays


@then(
    "the largest tenth of the jobs ends in time at least half as often as all"
)
def check_largest(context):
    plays = _plays(context)
    largest = statistics.mean(map(job_load.largest_in_time, plays))
    total = statistics.mean(map(job_load.fraction_in_time, plays))
    assert largest >= total / 2, (largest, total)


@then(
    "at least {part:g} as many end in time as with the smallest work first in"
    " a pool without limits on a job"
)
def check_most(context, part):
    plays = _plays(context)
    got = statistics.mean(map(job_load.fraction_in_time, plays))
    most = statistics.mean(
        job_load.most_jobs_in_time(jobs, POOL_CPU) for jobs in plays
    )
    assert got >= part * most, (got, most)
