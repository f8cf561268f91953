"""Steps about the admission of jobs and the return of refused callers."""

import math

from behave import given
from behave import then
from behave import when
from msgspec import structs

from azurevane._internal.models import admission
from azurevane._internal.models import job as job_models
from azurevane._internal.policy import admission as policy
from azurevane._internal.policy import return_order
from support import admission_load

SIZE = policy.JobSize(admission.Amount(1000.0), 1.0, 2.2)
NOTHING = admission.Amount()


def _steady(rate, seconds, team="north", start=0.0):
    count = math.ceil(rate * seconds)
    return [(start + number / rate, team) for number in range(count)]


@given(
    "a pool of {slots:d} slots for jobs that run {run:g} s, due after"
    " {due:g} s"
)
def step_pool(context, slots, run, due):
    context.slots, context.run_s, context.due_s = slots, run, due
    context.weight_by_team = {"north": 1e6}


@when("a day of bursts of 5 times the mean arrives")
def step_day(context):
    context.arrivals = []
    for start in (0.0, 20.0, 40.0, 60.0):
        context.arrivals += _steady(20, 8, start=start)
        context.arrivals += _steady(0.5, 12, start=start + 8)


@when("twice the room arrives for {seconds:d} s")
def step_twice(context, seconds):
    context.arrivals = _steady(2 * context.slots, seconds)


@when("five times the room arrives for {seconds:d} s")
def step_five_times(context, seconds):
    context.arrivals = _steady(5 * context.slots, seconds)
    context.arrivals += _steady(0.4, 20, start=seconds)


@when("one of two teams floods the pool at {rate:d} jobs a second")
def step_flood(context, rate):
    context.weight_by_team = {"flooding": 2, "other": 8}
    context.arrivals = _steady(rate, 10, "flooding")
    context.arrivals += _steady(6, 20, "other")


@when("20 teams of skewed sizes ask for 1.1 times to 13 times their weights")
def step_skewed(context):
    # Together the weights are 10 jobs a second, and the teams ask for 32.
    total = sum(1 / number for number in range(1, 21))
    context.arrivals, context.weight_by_team = [], {}
    for number in range(1, 21):
        team = f"team-{number}"
        rate = 32 / number / total
        context.weight_by_team[team] = 10 * (number + 4) / 290
        context.arrivals += _steady(rate, 15, team, start=0.013 * number)


def _play(context, *, admitting):
    pool = admission_load.Pool(
        context.slots, context.run_s, context.due_s, admitting=admitting
    )
    jobs = pool.run(context.arrivals, context.weight_by_team)
    return jobs, admission_load.count_outcomes(jobs, context.due_s, pool)


@then(
    "with admission at least {fraction:g} of the jobs in time without it are"
)
def step_in_time(context, fraction):
    _, context.without = _play(context, admitting=False)
    context.jobs, context.outcome = _play(context, admitting=True)
    least = fraction * context.without.in_time
    assert context.outcome.in_time >= least, (context.outcome, context.without)


@then("at least {fraction:g} of the jobs of use without it are")
def step_of_use(context, fraction):
    least = fraction * context.without.of_use
    assert context.outcome.of_use >= least, (context.outcome, context.without)


@then("at least {count:d} callers of useless jobs are told at once")
def step_told(context, count):
    told = [
        job
        for job in context.jobs
        if job.refusals
        and (
            job.ended_at is None
            or job.ended_at - job.arrived_at > 3 * context.due_s
        )
    ]
    assert len(told) >= count, (len(told), context.outcome)


@then("no more jobs are in time than the pool has room for")
def step_bound(context):
    last = max(at for at, _ in context.arrivals)
    room = context.slots * (last + context.due_s) / context.run_s
    assert context.outcome.in_time <= room, (context.outcome, room)


@then("every job of the other team is in time")
def step_other_in_time(context):
    jobs, _ = _play(context, admitting=True)
    late = [
        job
        for job in jobs
        if job.team == "other"
        and (
            job.ended_at is None
            or job.ended_at - job.arrived_at > context.due_s
        )
    ]
    assert not late, len(late)


def _queue(useful, in_time, *, ready=10000.0, reserve=0.0):
    queue = admission.QueueEstimate(
        admission.Amount(ready),
        *(NOTHING, 0.0),
        *(admission.Amount(reserve), 1.0),
        in_time,
        useful,
        *((), ()),
        *(0.0, False, SIZE.work.cpu),
    )
    return policy.add_room(queue, SIZE, admission_load.ESTIMATE_INTERVAL_S)


def _deadlines(work, until_s):
    return tuple(
        admission.Amount(work)
        for edge in admission.START_BY_EDGES_S
        if edge <= until_s
    )


_QUEUE_BY_LOAD = {
    "little work": _queue(_deadlines(100.0, 6.0), _deadlines(100.0, 2.0)),
    "work of late jobs only": _queue(_deadlines(50000.0, 6.0), ()),
    "work that must start soon": _queue(
        _deadlines(9000.0, 3.0), _deadlines(9000.0, 2.0)
    ),
    "more work than it can serve": _queue(
        _deadlines(50000.0, 6.0), _deadlines(50000.0, 2.0)
    ),
    "more work than moving hosts": _queue(
        _deadlines(9000.0, 6.0), _deadlines(9000.0, 2.0), reserve=90000.0
    ),
    "no capacity that is known": _queue(
        _deadlines(50000.0, 6.0), _deadlines(50000.0, 2.0), ready=0.0
    ),
}


@given("an estimate of a queue with {load}")
def step_estimate(context, load):
    if load == "room for a few late jobs":
        context.estimate = _queue(
            _deadlines(9000.0, 5.0), _deadlines(9000.0, 2.0)
        )
        return
    context.estimate = _QUEUE_BY_LOAD[load]


@then('at an age of {age:g} s a job is "{reason}"')
def step_decided(context, age, reason):
    decision = policy.decide(
        SIZE, context.estimate, age, policy.Position(NOTHING, 1e9)
    )
    assert decision.reason.value == reason, decision


def _job(**fields):
    step = job_models.Step(
        2, job_models.Capacity(1000, 100), 1.0, **fields.pop("step", {})
    )
    return job_models.Job(
        "0" * 16, "fit", "press", "", "", (step,), 0, **fields
    )


@then("a long-running job may not be refused")
def step_long_running(context):
    assert not policy.may_refuse(_job(step={"long_running": True}))


@then("a job with due times may not be refused")
def step_due_times(context):
    assert not policy.may_refuse(_job(repeats=2))


@then("a job of tasks that end may be refused")
def step_may_refuse(context):
    assert policy.may_refuse(_job())


@given("{count:d} hosts accepted jobs recently, the first one {first:d} jobs")
def step_hosts(context, count, first):
    context.hosts = [f"host-{number}" for number in range(count)]
    counts = dict.fromkeys(context.hosts, 1) | {"host-0": first}
    context.shares = policy.divide_shares(counts)


def _part(context, host, room, number):
    queue = _QUEUE_BY_LOAD["little work"]
    queue = structs.replace(queue, room=room)
    estimate = admission.AdmissionEstimate(
        admission.VERSION, 3, number, (), {}, context.shares
    )
    return policy.find_part(estimate, queue, host)


@then("for any room the parts of all hosts together are at most the room")
def step_parts(context):
    for number in range(50):
        room = 1700.0 * number
        parts = [_part(context, host, room, number) for host in context.hosts]
        assert sum(parts) <= room, (parts, room)
        assert all(part % SIZE.work.cpu == 0 for part in parts), parts


@then("a host that isn't listed gets a part of the reserve")
def step_reserve(context):
    parts = [_part(context, "new", 200000.0, number) for number in range(8)]
    reserve = (
        200000.0 * (1000 - sum(s.permille for s in context.shares)) / 1000
    )
    assert 0 < max(parts) <= reserve, (parts, reserve)


def _decide_with(context, accepted, *, came_back=False):
    part = 2000.0
    return policy.decide(
        SIZE,
        context.estimate,
        0.1,
        policy.Position(admission.Amount(accepted), part, came_back=came_back),
    )


@then("a host that has accepted its part refuses a job")
def step_part_spent(context):
    assert context.estimate.pressed, context.estimate
    decision = _decide_with(context, 2000.0)
    assert decision.reason is policy.Reason.PART_SPENT, decision


@then("a host that has accepted less takes it")
def step_part_left(context):
    assert _decide_with(context, 1000.0).accepted


@then("a caller that came back as told is taken by both")
def step_came_back(context):
    assert _decide_with(context, 1000.0, came_back=True).accepted
    assert _decide_with(context, 2000.0, came_back=True).accepted


@given("capacity for {count:d} callers a second frees up in {seconds:g} s")
def step_outlook(context, count, seconds):
    context.outlook = return_order.QueueOutlook(seconds, 1000.0 * count, 9.5)
    context.promised = {}


def _told(context, useful_s, *, preferred=False):
    plan = return_order.plan_return(
        return_order.RefusedJob(1000.0, useful_s, preferred),
        context.outlook,
        context.promised,
        100.0,
    )
    second = 100 + plan.retry_after_s
    context.promised[second] = context.promised.get(second, 0.0) + 1000.0
    return plan


@when(
    "{count:d} callers are refused at once whose jobs are of use for"
    " {seconds:g} s"
)
def step_refused(context, count, seconds):
    context.useful_s = seconds
    context.plans = [_told(context, seconds) for _ in range(count)]


@then("they are told whole seconds from {first:d} on")
def step_whole_seconds(context, first):
    times = [plan.retry_after_s for plan in context.plans]
    assert all(isinstance(at, int) for at in times), times
    assert min(times) == first and times == sorted(times), times


@then("no second is told to more than {count:d} callers")
def step_spread(context, count):
    assert max(context.promised.values()) <= 1000.0 * count, context.promised


@then(
    "those for whom there is no useful second are told when the queue is"
    " normal"
)
def step_normal(context):
    normal = return_order.ReturnReason.QUEUE_NORMAL
    times = [p.retry_after_s for p in context.plans if p.reason is normal]
    assert len(times) == 19 and min(times) == 10, times


@then("a further caller is told a time after {seconds:d} s")
def step_further(context, seconds):
    plan = _told(context, context.useful_s)
    assert plan.retry_after_s > seconds, plan


@then("a further caller that was refused before is told {seconds:d} s")
def step_preferred(context, seconds):
    plan = _told(context, context.useful_s, preferred=True)
    assert plan.retry_after_s == seconds, plan
