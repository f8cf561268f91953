from behave import given
from behave import then
from behave import when

from azurevane._internal.policy import queueing

_MIB = 1024 * 1024
_SERVICE = queueing.ServiceTime(0.1, 0.02, 50)


@given("{waiting:d} waiting and {running:d} running requests of the team")
def set_load(context, waiting, running):
    context.load = waiting, running


@given(
    "{entitled:d} of 64 slots for it, a limit of {limit:d},"
    " and others: {others}"
)
def make_backlog(context, entitled, limit, others):
    context.backlog = queueing.Backlog(
        *context.load, entitled, limit, 64, others == "yes"
    )


@given("run times of 0.1 s that vary by 0.02 s")
def set_run_times(context):
    context.service = _SERVICE


@when("a request that has {remaining:g} s left asks for admission")
def request_admission(context, remaining):
    context.decision = queueing.check_admission(
        remaining, 0, context.backlog, context.service, queueing.QueueBounds()
    )


@when(
    "a request asks a host with {queued:d} requests and {mib:d} MiB,"
    " {own:d} of the team"
)
def request_admission_at_bounds(context, queued, mib, own):
    backlog = queueing.Backlog(
        0, 0, 8, 64, 64, False, queued, mib * _MIB, own, 0
    )
    context.decision = queueing.check_admission(
        1.0, 100, backlog, _SERVICE, queueing.QueueBounds()
    )


@then("the admission decision is {status:d} {problem}")
def check_admission(context, status, problem):
    decision = context.decision
    if not status:
        assert decision is None, decision
        return
    assert (decision.status, decision.problem) == (status, problem), decision
    assert status == 504 or decision.retry_after_s > 0


@when("200 runs take 0.3 s each after 50 that took 0.01 s")
def observe_runs(context):
    context.service = queueing.ServiceTime()
    for seconds in [0.01] * 50 + [0.3] * 200:
        context.service = context.service.observe(seconds)


@then("the mean run time is within 0.01 s of 0.3 s")
def check_mean(context):
    assert abs(context.service.mean_s - 0.3) < 0.01, context.service


@when("100 requests with 1.0 s left wait for 4 slots at 0.1 s each")
def find_positions(context):
    backlog = queueing.Backlog(100, 4, 4, 64, 64, False)
    context.refused_positions = queueing.find_unmeetable_deadlines(
        [1.0] * 100, backlog, _SERVICE
    )


@then("the first 36 to 38 keep waiting and the others are refused")
def check_positions(context):
    kept = 100 - len(context.refused_positions)
    assert 36 <= kept <= 38, kept
    assert context.refused_positions == list(range(kept, 100))
