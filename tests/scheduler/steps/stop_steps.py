"""Steps about a host that is told to stop."""

import contextlib
import dataclasses

from behave import given
from behave import then
from behave import when

from azurevane._internal.scheduler import commands


def _leader(context):
    world = context.world
    return world.host_by_name[world.leader_name]


def _set_grace(host, grace_s):
    settings = host._settings
    bounds = dataclasses.replace(settings.bounds, stop_grace_s=grace_s)
    host.reload(dataclasses.replace(settings, bounds=bounds))


@given("a grace time of {seconds:g} s for the leader")
def step_grace(context, seconds):
    _set_grace(_leader(context), seconds)


@when("the settings are reloaded with a grace of {seconds:g} s")
def step_reload(context, seconds):
    _set_grace(_leader(context), seconds)


@when("a request that is never answered arrives")
def step_request_without_end(context):
    _leader(context)._resource.in_flight += 1


@when("a request that takes {seconds:g} s arrives")
def step_long_request(context, seconds):
    resource = _leader(context)._resource
    resource.in_flight += 1

    def end_request():
        resource.in_flight -= 1

    context.world.clock.callLater(seconds, end_request)


@when("the next hand-over fails")
def step_hand_over_fails(context):
    def fail(deadline):
        raise RuntimeError("unexpected")

    _leader(context).candidate.resign = fail


@when("the leader is told to stop and {seconds:g} s pass")
def step_stop(context, seconds):
    world = context.world
    name = world.leader_name
    host = world.host_by_name[name]
    began_at = world.clock.seconds()
    context.ended_after = []

    def end():
        context.ended_after.append(world.clock.seconds() - began_at)
        world.kill_host(name)

    # The reactor logs an error, as a signal calls this.
    with contextlib.suppress(RuntimeError):
        host.stop(end)
    world.advance_time(seconds)


@then("it has ended {least:g} to {most:g} s after that")
def step_ended(context, least, most):
    assert len(context.ended_after) == 1, context.ended_after
    assert least <= context.ended_after[0] <= most, context.ended_after


@when("that leader decides to {name} a task")
def step_decide(context, name):
    world = context.world
    leader = world.host_by_name[context.previous_leader].leader
    state = leader.scheduler_state
    run = next(
        run
        for runner in state.runner_by_id.values()
        for run in runner.run_by_task.values()
    )
    platform = world.platform
    handle = platform._handle_runner_call
    context.commands = []

    def record(entry_host, request):
        sent_by_leader = entry_host == context.previous_leader
        if sent_by_leader and not request.path.endswith("hold"):
            context.commands.append(request.path)
        return handle(entry_host, request)

    platform._handle_runner_call = record
    if name == "stop":
        state.stop_run(run, "test", leader.now())
    else:
        state.queue_command(
            commands.PaceCommand(run.runner_id, run, run.attempt, 50)
        )
    leader.request_planning()


@then("no runner got that command")
def step_no_command(context):
    assert not context.commands, context.commands
