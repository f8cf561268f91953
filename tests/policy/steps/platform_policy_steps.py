"""Steps for the order of jobs and the sizes of pools."""

import dataclasses
import heapq
import random

from behave import given
from behave import then
from behave import when

from azurevane._internal.models import job as job_models
from azurevane._internal.policy import host_packing
from azurevane._internal.policy import job_order
from azurevane._internal.policy import pool_sizing

NOW = 1000.0


@given(
    'a job "{name}" that arrived {ago:g} s ago, due in {due:g} s, with'
    " {left:g} s left"
)
def add_job(context, name, ago, due, left):
    if not hasattr(context, "job_input_by_name"):
        context.job_input_by_name = {}
    context.job_input_by_name[name] = job_order.JobOrderInput(
        priority=0,
        beyond_share=False,
        begun=False,
        long_running=False,
        arrived_at=NOW - ago,
        objective_at=NOW + due,
        remaining_s=left,
    )
    context.last_job = name


@given("it is beyond its team's share")
def put_beyond_share(context):
    job_input = context.job_input_by_name[context.last_job]
    context.job_input_by_name[context.last_job] = dataclasses.replace(
        job_input, beyond_share=True
    )


@then('the order is "{names}"')
def check_order(context, names):
    ordered = sorted(
        context.job_input_by_name,
        key=lambda name: job_order.order_key(
            context.job_input_by_name[name], NOW
        ),
    )
    assert ", ".join(ordered) == names, ordered


@when("a team of weight {weight:g} sends {count:d} jobs over {seconds:g} s")
def send_jobs(context, weight, count, seconds):
    meter = job_order.TeamRateMeter()
    context.within = sum(
        not meter.count_job("north", weight, NOW + number * seconds / count)
        for number in range(count)
    )


@then("between {low:d} and {high:d} of them are within its share")
def check_within_share(context, low, high):
    assert low <= context.within <= high, context.within


@given(
    "a pool that runs {rate:d} jobs a second of {run:g} s each, due after"
    " {due:g} s"
)
def make_pool(context, rate, run, due):
    context.slots = round(rate * run)
    context.run_s, context.due_s = run, due
    context.arrivals = []
    context.weight_by_team = {}


@when(
    'team "{team}" of weight {weight:g} sends {rate:d} jobs a second for'
    " {seconds:g} s"
)
def add_team_load(context, team, weight, rate, seconds):
    context.weight_by_team[team] = weight
    for number in range(round(rate * seconds)):
        context.arrivals.append((number / rate, team))


def _fraction_in_time(context, team, key):
    """Simulate the load; return the fraction of a team's jobs in time."""
    meter = job_order.TeamRateMeter()
    arrivals = sorted(context.arrivals)
    waiting, busy_until = [], [0.0] * context.slots
    in_time, number = 0, 0
    while number < len(arrivals) or waiting:
        free_at = heapq.heappop(busy_until)
        if not waiting and number < len(arrivals):
            free_at = max(free_at, arrivals[number][0])
        while number < len(arrivals) and arrivals[number][0] <= free_at:
            at, name = arrivals[number]
            beyond = meter.count_job(name, context.weight_by_team[name], at)
            job_input = job_order.JobOrderInput(
                priority=0,
                beyond_share=beyond,
                begun=False,
                long_running=False,
                arrived_at=at,
                objective_at=at + context.due_s,
                remaining_s=context.run_s,
            )
            waiting.append((job_input, name))
            number += 1
        waiting.sort(key=lambda item: key(item[0], free_at))
        job_input, name = waiting.pop(0)
        end = free_at + context.run_s
        heapq.heappush(busy_until, end)
        in_time += name == team and end <= job_input.objective_at
    return in_time / sum(name == team for _, name in arrivals)


@then('at least {fraction:g} of the jobs of "{team}" end in time')
def check_in_time(context, fraction, team):
    context.team = team
    got = _fraction_in_time(context, team, job_order.order_key)
    assert got >= fraction, got


@then("with jobs in order of arrival under {fraction:g} of them do")
def check_order_of_arrival(context, fraction):
    got = _fraction_in_time(
        context, context.team, lambda job_input, now: job_input.arrived_at
    )
    assert got < fraction, got


@dataclasses.dataclass
class _BurstJob:
    arrived_at: float
    run_s: float
    estimate_s: float
    tasks: int
    waiting: int = 0
    left: int = 0
    ended_at: float = 0.0

    def objective_at(self):
        return self.arrived_at + 1.6 * self.estimate_s + 0.6

    def job_input(self):
        return job_order.JobOrderInput(
            priority=0,
            beyond_share=False,
            begun=self.waiting < self.tasks,
            long_running=False,
            arrived_at=self.arrived_at,
            objective_at=self.objective_at(),
            remaining_s=self.estimate_s,
        )


@given(
    "{slots:d} slots, and a burst of {load:g} times their capacity for"
    " {seconds:g} s with run times declared off by a fifth"
)
def make_bursts(context, slots, load, seconds):
    context.slots = slots
    context.bursts = [
        _make_burst(seed, slots, load, seconds) for seed in range(6)
    ]


def _make_burst(seed, slots, load, seconds):
    rng = random.Random(seed)
    jobs, at = [], 0.0
    while at < seconds:
        # A job has six tasks of about a second on average.
        at += rng.expovariate(load * slots / 6.0)
        run_s = max(0.2, rng.lognormvariate(-0.1, 0.5))
        estimate_s = run_s * rng.uniform(0.8, 1.2)
        tasks = max(1, round(rng.expovariate(1 / 6)))
        jobs.append(_BurstJob(at, run_s, estimate_s, tasks))
    return jobs


def _simulate_burst(jobs, slots, key):
    """Simulate a burst; return the fraction of work that ends in time."""
    for job in jobs:
        job.waiting = job.left = job.tasks
    free, running, waiting, number = slots, [], [], 0
    while number < len(jobs) or running:
        times = [jobs[number].arrived_at] if number < len(jobs) else []
        now = min(times + [item[0] for item in running[:1]])
        while number < len(jobs) and jobs[number].arrived_at <= now:
            waiting.append(jobs[number])
            number += 1
        while running and running[0][0] <= now:
            _, _, job = heapq.heappop(running)
            free += 1
            job.left -= 1
            if not job.left:
                job.ended_at = now
        waiting.sort(key=lambda job: key(job.job_input(), now))
        for job in waiting:
            while job.waiting and free:
                job.waiting -= 1
                free -= 1
                entry = now + job.run_s, id(job), job
                heapq.heappush(running, entry)
        waiting = [job for job in waiting if job.waiting]
    work = sum(job.tasks * job.run_s for job in jobs)
    in_time = sum(
        job.tasks * job.run_s
        for job in jobs
        if job.ended_at <= job.objective_at()
    )
    return in_time / work


def _mean_fraction_in_time(context, key):
    fractions = [
        _simulate_burst(jobs, context.slots, key) for jobs in context.bursts
    ]
    return sum(fractions) / len(fractions)


def _by_urgency(job_input, now):
    start_by = job_input.objective_at - job_input.remaining_s
    return start_by < now, start_by


@then("more of the work ends in time than by urgency alone")
def check_better_than_urgency(context):
    got = _mean_fraction_in_time(context, job_order.order_key)
    other = _mean_fraction_in_time(context, _by_urgency)
    assert got > other, (got, other)


@then("more than by order of arrival")
def check_better_than_arrival(context):
    got = _mean_fraction_in_time(context, job_order.order_key)
    other = _mean_fraction_in_time(
        context, lambda job_input, now: job_input.arrived_at
    )
    assert got > other, (got, other)


@given('a pool "{name}" with {count:d} ready hosts of {cpu:d} millicores')
def add_pool(context, name, count, cpu):
    if not hasattr(context, "pools"):
        context.pools, context.idle, context.standby = [], [], []
        context.busy = []
    context.pools.append(
        pool_sizing.PoolDemand(
            name=name,
            host=job_models.Capacity(cpu, 131072),
            ready_hosts=count,
            incoming_hosts=0,
        )
    )


def _change_last_pool(context, **fields):
    context.pools[-1] = dataclasses.replace(context.pools[-1], **fields)


@given(
    "its long-running tasks use {cpu:d} millicores and need {count:d} hosts"
)
def set_long_running(context, cpu, count):
    host = context.pools[-1].host
    room = job_models.Capacity(host.cpu - cpu, host.memory)
    _change_last_pool(context, rooms=(room,), min_hosts=count)


@given("{cpu:d} millicores of work arrive")
def set_arriving(context, cpu):
    _change_last_pool(context, arriving=host_packing.Load(cpu=cpu))


@given("{busy:d} millicores are busy and {waiting:d} millicores of work wait")
def set_busy_and_waiting(context, busy, waiting):
    _change_last_pool(
        context,
        running=host_packing.Load(cpu=busy),
        waiting=host_packing.Load(cpu=waiting),
    )


@given("{count:d} hosts are incoming")
def set_incoming(context, count):
    _change_last_pool(context, incoming_hosts=count)


@given('idle host "{name}" of "{pool}" for {seconds:g} s')
def add_idle_host(context, name, pool, seconds):
    context.idle.append(pool_sizing.IdleHost(name, pool, seconds))


@given('idle host "{name}" of "{pool}" for {seconds:g} s, due for maintenance')
def add_due_host(context, name, pool, seconds):
    context.idle.append(pool_sizing.IdleHost(name, pool, seconds, True))


@given('standby hosts "{names}"')
def set_standby_hosts(context, names):
    context.standby = names.split(", ")


@then("it wants {count:d} hosts")
def check_wanted(context, count):
    wanted = pool_sizing.wanted_host_count(context.pools[-1])
    assert wanted == count, wanted


@then('the moves are "{moves}"')
@then('the moves are ""')
def check_moves(context, moves=""):
    planned = _plan(context)
    seen = ", ".join(f"{move.host}>{move.target}" for move in planned.moves)
    assert seen == moves, seen


def _plan(context):
    return pool_sizing.plan_moves(
        context.pools,
        context.idle,
        context.busy,
        context.standby,
        "standby",
    )


@given('busy host "{name}" of "{pool}" with {tasks:d} tasks')
def add_busy_host(context, name, pool, tasks):
    context.busy.append(pool_sizing.BusyHost(name, pool, tasks))


@then('the hosts to drain are "{names}"')
@then('the hosts to drain are ""')
def check_drained(context, names=""):
    seen = ", ".join(sorted(_plan(context).drain))
    assert seen == names, seen
