"""Steps about queues with an advisor."""

from behave import given
from behave import then
from behave import when

from azurevane._internal.standins import advisor
from azurevane._internal.standins import site_runner
from support import peer_troubles
from support import site_world

_QUEUE = "advised"
_DECISION_S = 0.15
_PER_RUNNER_S = 0.015
_NEED = {"cpu": 1000, "memMb": 64}
_NONE_LEFT = "drops the calls of callers that left"


def _make_site(context, runners, validity_s=3.0, **options):
    world = context.world = site_world.SiteWorld()
    context.job_ids = []
    context.call_s = _DECISION_S + _PER_RUNNER_S * min(runners, 30)
    context.task_need = dict(_NEED)
    world.platform.advisor = advisor.Advisor(
        world.clock,
        decision_s=_DECISION_S,
        per_runner_s=_PER_RUNNER_S,
        ticket_validity_s=validity_s,
        **options,
    )
    world.add_service("press")
    world.add_queue(
        _QUEUE,
        "press",
        advisor={
            "decideMs": _DECISION_S * 1000,
            "perItemMs": _PER_RUNNER_S * 1000,
            "validMs": validity_s * 1000,
        },
    )
    context.queue = _QUEUE
    world.add_machines(runners, "press")
    world.set_task_plan(0.5, need=_NEED)
    world.start()
    world.advance_time(3.0)


@given("a site with {runners:d} runners and an advisor that {behaviour}")
def step_site(context, runners, behaviour):
    _make_site(context, runners, serves_left=behaviour != _NONE_LEFT)
    if behaviour.startswith("allows the last"):
        count = int(behaviour.split()[3])
        ids = sorted(
            runner.id
            for runner in context.world.platform.runner_by_address.values()
        )
        context.world.platform.advisor.allows = lambda step, runner: (
            runner in ids[-count:]
        )


@given(
    "a site with {runners:d} runners and an advisor whose tickets are valid"
    " for {seconds:g} s"
)
def step_site_validity(context, runners, seconds):
    _make_site(context, runners, validity_s=seconds)


@given("advised tasks that take a whole runner for {seconds:g} s")
def step_wide_tasks(context, seconds):
    context.task_need = {"cpu": 32000, "memMb": 64}
    context.world.platform.plan_task = lambda task, attempt: (
        site_runner.TaskPlan(seconds, need=context.task_need)
    )


@given("a store that takes {seconds:g} s more")
def step_store_delay(context, seconds):
    context.world.platform.store_delay_s = seconds


@when("{count:d} advised jobs come within {seconds:g} s")
def step_burst(context, count, seconds):
    world = context.world
    step = {"count": 2, "estimateMs": 500, **context.task_need}
    for number in range(count):
        job_id = f"ad{number:014x}"
        began_at = world.clock.seconds()
        response = world.submit_job(_QUEUE, job_id, [step])
        assert response.status == 200, response
        context.job_ids.append(job_id)
        world.advance_time(
            max(seconds / count - (world.clock.seconds() - began_at), 0.0)
        )


@when("the advisor has had time for all of them")
def step_let_advise(context):
    # As long as all calls take, and as long again for what went wrong.
    context.world.advance_time(
        2 * context.call_s * len(context.job_ids) + 10.0
    )


@when("{losses:d} leaders are killed {seconds:g} s apart")
def step_kill_leaders(context, losses, seconds):
    for _ in range(losses):
        context.world.kill_host(context.world.leader_name)
        context.world.advance_time(seconds)


@when("the advisor {trouble} for {seconds:g} s")
def step_trouble(context, trouble, seconds):
    world = context.world
    peer = world.platform.advisor.peer(world.leader_name)
    calls_before = peer.call_count
    peer_troubles.play(world, peer, trouble, seconds)
    context.calls_meanwhile = peer.call_count - calls_before


@when("every runner restarts under its id, one each second")
def step_restart_each(context):
    platform = context.world.platform
    for host in list(platform.host_by_name.values()):
        context.world.advance_time(1.0)
        platform.restart_runner(host.runner, restart_s=0.3)


@then('all advised jobs are "{state}"')
def step_all_states(context, state):
    others = {
        job_id: actual
        for job_id in context.job_ids
        if (actual := context.world.job_state(_QUEUE, job_id)) != state
    }
    peer = context.world.platform.advisor
    assert not others, (len(others), others, len(peer.calls), peer.answered)


@then("the advisor got at most {calls:g} calls a job")
def step_calls(context, calls):
    got = len(context.world.platform.advisor.calls)
    assert got <= calls * len(context.job_ids), got


@then("it got at most {calls:d} calls meanwhile")
def step_calls_meanwhile(context, calls):
    assert context.calls_meanwhile <= calls, context.calls_meanwhile


@then("at most {calls:d} calls waited at the advisor")
def step_waiting(context, calls):
    waited = context.world.platform.advisor.most_waiting
    assert waited <= calls, waited


@then("at most {starts:d} starts had no valid ticket")
def step_rejected(context, starts):
    rejected = context.world.platform.advisor.rejected_starts
    assert rejected <= starts, rejected


@then("the leader keeps no advice")
def step_no_advice(context):
    world = context.world
    leader = world.host_by_name[world.leader_name].leader
    assert leader.scheduler_state.advice.step_count == 0
