"""Steps for busy periods that are foreseen, in a load model of four pools."""

import bisect
import functools
import random

from behave import given
from behave import then
from behave import when

from azurevane._internal.models import job as job_models
from azurevane._internal.policy import host_packing
from azurevane._internal.policy import pool_sizing
from azurevane._internal.scheduler import busy_periods
from support import pool_load

SEEDS = range(2)
# Name, peak rate, run time in seconds and thousandths of a core of a task.
QUEUES = (
    ("press", 40, 0.64, 6200),
    ("rings", 7, 1.8, 13000),
    ("gears", 50, 0.64, 6200),
    ("bolts", 8, 1.8, 13000),
)
LEAD_S = 3.0


def _turn_begins(lengths):
    begins = [LEAD_S]
    for length in lengths:
        begins.append(begins[-1] + length)
    return begins


def _set_turns(context, begins):
    """Make the queues busy in turn; the last time is the end."""

    def busy(number, at):
        turn = bisect.bisect_right(begins, at) - 1
        return 0 <= turn < len(begins) - 1 and turn % 4 == number

    context.begins, context.busy, context.end = begins, busy, begins[-1]


@given("queues that are busy in turn for {length:g} s, {rounds:d} rounds")
def set_regular(context, length, rounds):
    _set_turns(context, _turn_begins([length] * (4 * rounds)))


@given("queues that are busy all the time")
def set_steady(context):
    context.end = 36.0
    context.busy = lambda number, at: True
    context.peak_ratio = 0.25


@given("queues that are busy at random")
def set_random(context):
    rng = random.Random(5)
    spans = []
    for number in range(4):
        at = rng.uniform(0, 8)
        while at < 60:
            length = rng.uniform(1.5, 7)
            spans.append((number, at, at + length))
            at += length + rng.expovariate(1 / 8)
    context.end = 60.0
    context.busy = lambda number, at: any(
        number == other and begin <= at < end for other, begin, end in spans
    )


@given("queues that are busy in turn, once 2 s early")
def set_early(context):
    lengths = [4.5] * 12
    lengths[5], lengths[6] = 2.5, 6.5
    _set_turns(context, _turn_begins(lengths))


@given("queues that are busy in turn, with another length later on")
def set_other_length(context):
    _set_turns(context, _turn_begins([4.5] * 6 + [7.0] * 8))


@given("queues that are busy in turn, and then not any more")
def set_ending(context):
    _set_turns(context, _turn_begins([4.5] * 6))
    context.end += 20.0


def _make_pools(context, seed):
    pools = []
    for number, (name, peak, run_s, cpu) in enumerate(QUEUES):
        high = peak * getattr(context, "peak_ratio", 1.0)

        def rate_at(at, number=number, high=high):
            return high if context.busy(number, at) else high / 100

        jobs = pool_load.make_jobs(
            rate_at,
            context.end,
            run_s=run_s,
            cpu=cpu,
            seed=seed * 10 + number,
            max_rate=high,
        )
        pools.append(pool_load.Pool(jobs, name))
    return pools


def _arrival(pool, job):
    work = host_packing.Load(1, job.cpu).scaled(
        job.total * job.tasks * job.run_s
    )
    return busy_periods.Arrival(
        pool.name, job.arrived_at, work, job.total * job.run_s
    )


def _make_policy(pools, *, forecast):
    """Return the sizing as the leader does it."""
    periods = busy_periods.BusyPeriods(pool_load.MOVE_S, forecast=forecast)
    counted = dict.fromkeys((name for name, *_ in QUEUES), 0)

    def wanted(pool):
        new_jobs = []
        for other in pools:
            jobs = other.arrived[counted[other.name] :]
            counted[other.name] += len(jobs)
            new_jobs.extend(_arrival(other, job) for job in jobs)
        periods.record_arrivals(new_jobs, pool.now)
        waiting = host_packing.Load(
            cpu=sum(
                job.waiting
                * job.cpu
                * (1.0 if job.start_by() >= pool.now else min(job.run_s, 1.0))
                for job in pool.waiting
            )
        )
        return pool_sizing.wanted_host_count(
            pool_sizing.PoolDemand(
                name=pool.name,
                host=job_models.Capacity(pool_load.HOST_CPU),
                ready_hosts=pool.ready,
                incoming_hosts=len(pool.incoming),
                running=host_packing.Load(cpu=pool.used_cpu),
                waiting=waiting,
                arriving=periods.arriving(pool.name, pool.now),
            )
        )

    return wanted


def _make_bound(context):
    """Return a sizing without limit that knows the turns."""
    number_by_name = {name: n for n, (name, *_) in enumerate(QUEUES)}

    def wanted(pool):
        number = number_by_name[pool.name]
        busy = any(
            context.busy(number, pool.now + after) for after in (0, 1, 2)
        )
        return 500 if busy or pool.waiting else 2

    return wanted


def _play(context, make_policy):
    played = []
    for seed in SEEDS:
        pools = _make_pools(context, seed)
        pool_load.play_together(pools, make_policy(pools), context.end + 10)
        played.extend(pools)
    return played


def _in_time(pools, test=lambda job: True):
    jobs = [job for pool in pools for job in pool.jobs if test(job)]
    return sum(job.ended_at <= job.objective_at for job in jobs) / len(jobs)


def _host_seconds(pools):
    return sum(pool.host_seconds for pool in pools)


@when("their pools are sized with and without a forecast")
def play_loads(context):
    context.got = _play(
        context, functools.partial(_make_policy, forecast=True)
    )
    context.simple = _play(
        context, functools.partial(_make_policy, forecast=False)
    )


@then(
    "from round {number:d} on {gain:g} more of the first {seconds:g} seconds'"
    " jobs end in time"
)
def check_first_seconds(context, number, gain, seconds):
    begins = context.begins[4 * (number - 1) : -1]

    def first(job):
        return any(0 <= job.arrived_at - at < seconds for at in begins)

    got, simple = _in_time(context.got, first), _in_time(context.simple, first)
    assert got >= simple + gain, (got, simple)


@then("the host-seconds are at most {ratio:g} of those without")
def check_costs(context, ratio):
    got, simple = _host_seconds(context.got), _host_seconds(context.simple)
    assert got <= ratio * simple, (got, simple)


@then("all in all {share:g} of what knowing the turns would allow is reached")
def check_bound(context, share):
    got = _in_time(context.got)
    bound = _in_time(_play(context, lambda pools: _make_bound(context)))
    assert share * bound <= got <= bound, (got, bound)


@then("the jobs end in time as often as without, but for {loss:g}")
def check_no_loss(context, loss):
    got, simple = _in_time(context.got), _in_time(context.simple)
    assert got >= simple - loss, (got, simple)
