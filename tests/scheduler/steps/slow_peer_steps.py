"""Steps about peers that carry out one call at a time."""

import collections
import itertools
import json

from behave import given
from behave import then
from behave import when
from twisted.internet import defer
from twisted.internet import task as twisted_task

from azurevane._internal.callers import job_handler
from azurevane._internal.standins import serial_peer
from support import peer_troubles
from support import site_world


@given("a hosts API that carries out one call at a time, {seconds:g} s each")
def step_serial_hosts_api(context, seconds):
    world = context.world
    world.platform.hosts_peer = serial_peer.SerialPeer(world.clock)
    world.platform.hosts_call_s = seconds


@given("runners that carry out one call at a time, {seconds:g} s each")
def step_serial_runners(context, seconds):
    world = context.world
    for runner in world.platform.runner_by_address.values():
        runner.peer = serial_peer.SerialPeer(world.clock)
        runner.call_s = seconds


@when("the hosts API {trouble} for {seconds:g} s")
def step_hosts_api_trouble(context, trouble, seconds):
    world = context.world
    peer = world.platform.hosts_peer
    calls_before = peer.call_count
    context.trouble_s = seconds
    peer_troubles.play(world, peer, trouble, seconds)
    context.calls_meanwhile = peer.call_count - calls_before


@then("it got at most {calls:d} calls and one more each second meanwhile")
def step_hosts_calls_meanwhile(context, calls):
    most = calls + context.trouble_s
    assert context.calls_meanwhile <= most, context.calls_meanwhile


@then("no host was commanded twice")
def step_commanded_once(context):
    counts = collections.Counter(
        (command, host)
        for _, command, host, _, _ in context.world.platform.host_commands
        if command == "upkeep"
    )
    assert set(counts.values()) == {1}, counts


@given("a store that works {seconds:g} s on each write of a part")
def step_serial_store(context, seconds):
    context.world.platform.store_transaction_s = seconds


@when("{count:d} jobs are submitted at all hosts within {seconds:g} s")
def step_submit_in_parallel(context, count, seconds):
    """Callers repeat what isn't accepted 0.3 s later."""
    world = context.world
    hosts = itertools.cycle(list(world.host_by_name.values()))
    phase = {"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": 500}
    body = json.dumps({"spec": "x", "phases": [phase]}).encode()
    context.accepted = set()

    async def submit(job_id):
        request = job_handler.JobRequest(
            method="POST",
            host_name=site_world.HOST_NAME,
            path=f"/{context.queue}/{job_id}",
            authorization=f"Bearer {site_world.KEY}",
            body=body,
        )
        while job_id not in context.accepted:
            response = await next(hosts).job_handler.handle(request)
            if response.status == 200:
                context.accepted.add(job_id)
            await twisted_task.deferLater(world.clock, 0.3, lambda: None)

    for number in range(count):
        defer.ensureDeferred(submit(f"{number % 16:x}{number:015x}"))
        world.advance_time(seconds / count)


@then("all {count:d} jobs are accepted and completed")
def step_accepted_and_completed(context, count):
    assert len(context.accepted) == count, len(context.accepted)
    step_all_completed(context)


@then("at most {count:d} calls about hosts waited")
def step_hosts_calls_waiting(context, count):
    waited = context.world.platform.hosts_peer.most_waiting
    assert waited <= count, waited


@then("no task ran twice but for ends that came too late")
def step_no_noted_end_repeated(context):
    """An end doesn't count if the lease lapsed before it was noted."""
    record = context.world.platform.record
    noted = {entry[2:] for entry in record if entry[1] == "seen done"}
    runner_by_task, done = {}, set()
    twice = []
    for at, event, runner, task, attempt in record:
        if event == "start":
            if task in runner_by_task or task in done:
                twice.append((at, task, attempt))
            runner_by_task[task] = runner
        elif not event.startswith("seen"):
            runner_by_task.pop(task, None)
            if event == "done" and (runner, task, attempt) in noted:
                done.add(task)
    assert not twice, twice


@then("at most {count:d} calls waited at any runner")
def step_runner_calls_waiting(context, count):
    waited = [
        runner.peer.most_waiting
        for runner in context.world.platform.runner_by_address.values()
    ]
    assert max(waited) <= count, waited


@then("all of the jobs are completed")
def step_all_completed(context):
    world = context.world
    others = {
        state.job.id: state.status.value
        for host in world.host_by_name.values()
        if host.leader is not None
        for state in host.leader.scheduler_state.job_by_id.values()
        if state.status.value != "completed"
    }
    counts = collections.Counter(entry[1] for entry in world.platform.record)
    assert not others, (len(others), counts)
