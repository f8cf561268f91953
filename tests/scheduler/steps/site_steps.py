"""Steps about jobs, hosts and runners of a site."""

import base64
import json

from behave import given
from behave import then
from behave import when
from twisted.internet import defer

from azurevane._internal.callers import job_handler
from azurevane._internal.models import job as job_models
from azurevane._internal.scheduler import records
from azurevane._internal.scheduler import renewals
from azurevane._internal.scheduler import runner_state
from azurevane._internal.standins import site_runner
from support import site_world


@given(
    'a site with service "{service}" on {count:d} hosts and queue "{queue}"'
)
def step_site(context, service, count, queue):
    world = site_world.SiteWorld()
    world.add_service(service)
    world.add_service("reserve", standby=True)
    world.add_queue(queue, service)
    world.add_machines(count, service)
    world.start()
    context.world = world
    context.queue = queue


@given("hosts stay in their pools")
def step_no_standby(context):
    config = context.world.config
    config["version"] += 1
    for service in config["services"]:
        service["standby"] = False
    context.world.put_config()


@given("tasks that run {seconds:g} s")
def step_task_time(context, seconds):
    context.world.set_task_plan(seconds)


@when('job "{job_id}" of {count:d} tasks is submitted')
def step_submit(context, job_id, count):
    response = context.world.submit_job(context.queue, job_id, [_job(count)])
    assert response.status == 200, response


@when("{seconds:g} s pass")
def step_time_passes(context, seconds):
    context.world.advance_time(seconds)


@when("the leader is told to stop")
def step_stop_leader(context):
    world = context.world
    name = world.leader_name
    host = world.host_by_name[name]
    host.stop(lambda: world.kill_host(name))


@when("the leader is killed")
def step_kill_leader(context):
    world = context.world
    world.kill_host(world.leader_name)


@when("the host that takes over is told to stop before the store responds")
def step_stop_candidate(context):
    world = context.world
    names = []
    while not names:
        world.advance_time(site_world.STEP_S)
        names = [
            name
            for name, host in world.host_by_name.items()
            if host.candidate._taking_over
        ]
    name = context.previous_leader = names[0]
    assert world.leader_name is None, world.leader_name
    world.host_by_name[name].stop(lambda: world.kill_host(name))


@then('job "{job_id}" is "{state}"')
def step_state(context, job_id, state):
    actual = context.world.job_state(context.queue, job_id)
    assert str(actual) == state, actual


@then("no task ran twice")
def step_no_task_twice(context):
    repeated = context.world.tasks_run_twice()
    assert not repeated, repeated


@then("no task was stopped")
def step_not_stopped(context):
    stopped = [
        entry
        for entry in context.world.platform.record
        if entry[1] in ("stopped", "lapsed")
    ]
    assert not stopped, stopped


@then('each task of job "{job_id}" started once')
def step_started_once(context, job_id):
    names = [entry[3] for entry in context.world.task_starts(job_id)]
    assert names, "no task started"
    assert len(names) == len(set(names)), names


@then("the new leader started no task again")
def step_one_attempt(context):
    world = context.world
    state = world.host_by_name[world.leader_name].leader.scheduler_state
    attempts = [
        run.attempt
        for job in state.job_by_id.values()
        for run in job.all_runs()
    ]
    assert attempts and max(attempts) == 1, attempts.count(1)


@when("a job of {count:d} tasks of {cpu:d} millicores is submitted")
def step_submit_small(context, count, cpu):
    phase = {"count": count, "cpu": cpu, "memMb": 10, "estimateMs": 1000}
    response = context.world.submit_job(context.queue, "0" * 15 + "1", [phase])
    assert response.status == 200, response


def _job(count, cpu=2000):
    return {"count": count, "cpu": cpu, "memMb": 1000, "estimateMs": 1000}


@when("{count:d} jobs of 1 task are submitted")
def step_submit_many(context, count):
    context.job_ids = [f"{number:016x}" for number in range(1, count + 1)]
    for job_id in context.job_ids:
        response = context.world.submit_job(context.queue, job_id, [_job(1)])
        assert response.status == 200, response


@when("a job of 1 task is submitted for each partition")
def step_submit_each_partition(context):
    context.job_ids = [digit + "0" * 15 for digit in "0123456789abcdef"]
    for job_id in context.job_ids:
        response = context.world.submit_job(context.queue, job_id, [_job(1)])
        assert response.status == 200, response


@then('a task of job "{job_id}" starts within {seconds:g} s')
def step_starts_within(context, job_id, seconds):
    world = context.world
    deadline = world.clock.seconds() + seconds
    while not world.task_starts(job_id):
        assert world.clock.seconds() < deadline, "no task started"
        world.advance_time(site_world.STEP_S)


@when('job "{job_id}" of {count:d} tasks is submitted to any host')
def step_submit_any_host(context, job_id, count):
    world = context.world
    for host in [*world.host_by_name] * 10:
        response = world.submit_job(
            context.queue, job_id, [_job(count)], host=host
        )
        if response.status == 200:
            return
    raise AssertionError(response)


@when('job "{job_id}" of 1 task is refused with {status:d}')
def step_refused(context, job_id, status):
    response = context.world.submit_job(context.queue, job_id, [_job(1)])
    assert response.status == status, response
    assert response.retry_after_s, response
    assert b"not-run" in response.body, response


@when("the store is down for {seconds:g} s")
def step_store_down(context, seconds):
    context.previous_leader = context.world.leader_name
    context.world.platform.store_down = True
    context.world.advance_time(seconds)
    context.world.platform.store_down = False


@when("the store goes down")
def step_store_goes_down(context):
    context.world.platform.store_down = True


@when("the store works again")
def step_store_works(context):
    context.world.platform.store_down = False


@when("the store loses its next {count:d} responses")
def step_lose_responses(context, count):
    context.world.platform.store_answers_to_lose = count


@when("the store rejects the leader for {seconds:g} s")
def step_reject_leader(context, seconds):
    world = context.world
    name = context.previous_leader = world.leader_name
    world.platform.store_down_for.add(name)
    world.clock.callLater(seconds, world.platform.store_down_for.discard, name)


@then('all submitted jobs are "{state}"')
def step_all_states(context, state):
    states = {
        context.world.job_state(context.queue, job_id)
        for job_id in context.job_ids
    }
    assert states == {state}, states


@then('job "{job_id}" is "{state}" at the leader')
def step_state_at_leader(context, job_id, state):
    world = context.world
    names = [
        name
        for name in world.host_by_name
        if name not in world.platform.store_down_for
    ]
    actual = world.job_state(context.queue, job_id, host=names[0])
    assert actual == state, actual


def _busy_runner(world):
    runners = world.platform.runner_by_address.values()
    return next(runner for runner in runners if runner.task_by_name)


@when("a runner with tasks crashes")
def step_runner_crashes(context):
    runner = _busy_runner(context.world)
    runner.crash()
    world = context.world
    world.clock.callLater(4.5, world.platform.unregister, runner)


def _take_down(world, runner):
    runner.crash()
    for machine in world.platform.host_by_name.values():
        if machine.runner is runner:
            machine.state = "down"
            machine.runner = None


@when("a runner with tasks crashes and its host is listed as down")
def step_crash_listed(context):
    _take_down(context.world, _busy_runner(context.world))


@when(
    "the runners with assigned tasks crash and their hosts are listed as down"
)
def step_commanded_crash(context):
    world = context.world
    scheduler_state = world.host_by_name[
        world.leader_name
    ].leader.scheduler_state
    assigned = {
        state.id
        for state in scheduler_state.runner_by_id.values()
        if state.run_by_task
    }
    assert assigned, "no runner has a run"
    for runner in list(world.platform.runner_by_address.values()):
        if runner.id in assigned:
            _take_down(world, runner)


@when("a runner with tasks can't be reached")
def step_cut_off(context):
    runner = _busy_runner(context.world)
    runner.reachable = False
    world = context.world
    world.clock.callLater(4.5, world.platform.unregister, runner)


@when("a runner with tasks resets all its responses")
def step_reset_responses(context):
    context.resetting_runner = _busy_runner(context.world)
    context.resetting_runner.responses_until_reset = 0


@when("only the leader can reach a runner with tasks")
def step_reached_by_leader(context):
    world = context.world
    runner = _busy_runner(world)
    runner.unreachable_from = set(world.host_by_name) - {world.leader_name}


@when("the store's responses to the leader are lost")
def step_lose_leader_responses(context):
    world = context.world
    world.platform.store_answers_lost_for.add(world.leader_name)


@when("the store's responses to the leader are lost for {seconds:g} s")
def step_lose_responses_for(context, seconds):
    world = context.world
    name = world.leader_name
    lost_for = world.platform.store_answers_lost_for
    lost_for.add(name)
    world.clock.callLater(seconds, lost_for.discard, name)


@then(
    "each command of the last {seconds:g} s was sent before its announced time"
)
def step_announced(context, seconds):
    world = context.world
    since = world.clock.seconds() - seconds
    # The clock of the stand-in for the store is that of the world.
    value = world.platform.store.value("azurevane-leader", "", "alive")
    command_by_host = json.loads(value)["marks_by_host"]
    commands = [
        (at, host)
        for at, _, host, _, _ in world.platform.host_commands
        if at >= since
    ]
    assert commands, "no command was sent"
    for at, host in commands:
        announced_until, _ = command_by_host[host]
        assert at <= announced_until, (host, at, announced_until)


@then("that runner's lease lasts at least {seconds:g} s")
def step_lease_lasts(context, seconds):
    runner = context.resetting_runner
    left_s = runner._lease_expires_at - runner._clock_ms() / 1000
    assert left_s >= seconds, left_s


@when("the leader reaches nothing but runners")
def step_reaches_runners(context):
    world = context.world
    name = context.previous_leader = world.leader_name
    world.platform.store_silent_for.add(name)
    world.leave_queries_unanswered(name)


@when("a further host leads for {seconds:g} s, is killed and leads again")
def step_further_leader(context, seconds):
    world = context.world
    while not _other_leaders(context):
        world.advance_time(site_world.STEP_S)
    world.advance_time(seconds)
    (name,) = _other_leaders(context)
    world.kill_host(name)
    world.start_host(name)
    while not _other_leaders(context):
        world.advance_time(site_world.STEP_S)


@then("the new leader waits for the leases of the one that reaches runners")
def step_waits_for_leases(context):
    world = context.world
    (name,) = _other_leaders(context)
    silent = world.host_by_name[context.previous_leader].leader
    extends_until = (
        silent.leadership_confirmed_at() + renewals.EXTEND_WITHOUT_STORE_S
    )
    waits_until = extends_until + runner_state.longest_lease_s(silent.lease_s)
    state = world.host_by_name[name].leader.scheduler_state
    assert state.unreached_until >= waits_until, (
        state.unreached_until,
        waits_until,
    )


@when("that runner resets all its responses again")
def step_reset_again(context):
    context.resetting_runner.responses_until_reset = 0


@when("that runner's responses arrive again")
def step_responses_arrive(context):
    context.resetting_runner.responses_until_reset = None


@when("another host leads for {seconds:g} s")
def step_other_leads_for(context, seconds):
    world = context.world
    previous = world.leader_name
    while world.leader_name in (None, previous):
        world.advance_time(site_world.STEP_S)
    world.advance_time(seconds)


@when("one response of that runner arrives")
def step_one_response(context):
    context.resetting_runner.responses_until_reset = 1


@when("the runners carry out commands {seconds:g} s late")
def step_late_commands(context, seconds):
    for runner in context.world.platform.runner_by_address.values():
        runner.command_delay_s = seconds


@when("the runners carry out commands on time again")
def step_on_time(context):
    for runner in context.world.platform.runner_by_address.values():
        runner.command_delay_s = 0.0


@when("a runner with tasks restarts under its id")
def step_runner_restarts(context):
    context.world.platform.restart_runner(_busy_runner(context.world))


@then('every task of job "{job_id}" runs')
def step_all_tasks_run(context, job_id):
    running = {
        name
        for runner in context.world.platform.runner_by_address.values()
        for name in runner.task_by_name
        if name.startswith(job_id)
    }
    state = next(
        host.leader.scheduler_state.job_by_id[job_id]
        for host in context.world.host_by_name.values()
        if host.leader is not None
    )
    missing = {str(run.name) for run in state.all_runs()} - running
    assert not missing, missing


@when("the leader is killed and restarted")
def step_restart_leader(context):
    world = context.world
    name = world.leader_name
    world.kill_host(name)
    context.killed_at = world.clock.seconds()
    world.start_host(name)
    world.advance_time(0.5)


@given(
    "tasks that run {seconds:g} s, many of which fail first, {gap_s:g} s apart"
)
def step_fail_in_turn(context, seconds, gap_s):
    def plan(task, attempt):
        index = int(task.rpartition(".")[2])
        if attempt == 1 and index % 4:
            return site_runner.TaskPlan(0.6 + gap_s * index, "failed")
        return site_runner.TaskPlan(seconds)

    context.world.platform.plan_task = plan


@when("the leader reaches only the runners, and one of them only it")
def step_leader_without_store(context):
    world = context.world
    step_reaches_runners(context)
    name = context.previous_leader
    runner = _busy_runner(world)
    runner.unreachable_from = set(world.host_by_name) - {name}


@when("connections to its host are refused")
def step_refuse_connections(context):
    world = context.world
    address = str(world._address(context.previous_leader))
    world.platform.entry_host_by_address[address] = None


@then('a task of job "{job_id}" has started')
def step_any_started(context, job_id):
    assert context.world.task_starts(job_id), job_id


@given("the leader writes no more renewals")
def step_no_renewals(context):
    world = context.world
    context.previous_leader = world.leader_name
    # The time of the last renewal never becomes old.
    world.host_by_name[world.leader_name].leader._renewed_at = float("inf")


@then("a host leads")
def step_host_leads(context):
    assert context.world.leader_name is not None


@then("a host has got a command since")
def step_host_commanded(context):
    commands = [
        command
        for command in context.world.platform.host_commands
        if command[0] >= context.killed_at
    ]
    assert commands, context.world.platform.host_commands


@when('job "{job_id}" of 1 task is submitted within {seconds:g} s')
def step_submit_within(context, job_id, seconds):
    began_at = context.world.clock.seconds()
    response = context.world.submit_job(context.queue, job_id, [_job(1)])
    took_s = context.world.clock.seconds() - began_at
    assert response.status == 200, response
    assert took_s <= seconds, took_s


@given("submissions are stored {seconds:g} s late, without a response")
def step_late_submissions(context, seconds):
    context.world.platform.submission_delay_s = seconds


@when("submissions are stored on time again")
def step_submissions_on_time(context):
    context.world.platform.submission_delay_s = 0.0


@when('job "{job_id}" of 1 task is submitted and answered with {status:d}')
def step_submit_answered(context, job_id, status):
    response = context.world.submit_job(context.queue, job_id, [_job(1)])
    assert response.status == status, response


@when('job "{job_id}" is cancelled and answered with {status:d}')
def step_cancel_answered(context, job_id, status):
    path = f"/{context.queue}/{job_id}"
    response = context.world.send_request("DELETE", path)
    assert response.status == status, response


@then('no task of job "{job_id}" started')
def step_none_started(context, job_id):
    starts = context.world.task_starts(job_id)
    assert not starts, starts


@then('job "{job_id}" is known at every host')
def step_known(context, job_id):
    for host in context.world.host_by_name:
        state = context.world.job_state(context.queue, job_id, host=host)
        assert state in ("queued", "running", "completed"), state


@when("the store takes {seconds:g} s for each response")
def step_store_slow(context, seconds):
    context.previous_leader = context.world.leader_name
    context.world.platform.store_delay_s = seconds


@when("the store stops responding")
def step_store_silent(context):
    context.world.platform.store_silent = True


@then("a submission is refused with {status:d} at once, as not run")
def step_refused_at_once(context, status):
    began_at = context.world.clock.seconds()
    response = context.world.submit_job(context.queue, "0" * 16, [_job(1)])
    took_s = context.world.clock.seconds() - began_at
    assert response.status == status, response
    assert b"not-run" in response.body, response
    assert response.retry_after_s, response
    assert took_s < 0.05, took_s


@then("every host accepts a job")
def step_all_accept(context):
    for number, host in enumerate(context.world.host_by_name):
        response = context.world.submit_job(
            context.queue, f"{number + 0xCC0:016x}", [_job(1)], host=host
        )
        assert response.status == 200, (host, response)


@given(
    'host "{name}" has {processors:g} processors and a link of {link:g} Mbit/s'
)
def step_host_limits(context, name, processors, link):
    world = context.world
    world.kill_host(name)
    # The host may have been the first leader. It doesn't lead now, as
    # another one has taken over by the time it restarts.
    world.advance_time(4.0)
    world.start_host(name, processors=processors, link_mbps=link)
    world.advance_time(4.0)


@when('the leader other than "{name}" is killed')
def step_kill_other(context, name):
    leader = context.world.leader_name
    assert leader not in (None, name), leader
    context.world.kill_host(leader)


@then('a host other than "{name}" leads')
def step_other_leads(context, name):
    leader = context.world.leader_name
    assert leader not in (None, name), leader


@when("the store doesn't respond to the leader for {seconds:g} s")
def step_silent_to_leader(context, seconds):
    world = context.world
    name = context.previous_leader = world.leader_name
    silent_for = world.platform.store_silent_for
    silent_for.add(name)
    world.clock.callLater(seconds, silent_for.discard, name)


@when("the leader is isolated from the network")
def step_isolate_leader(context):
    context.previous_leader = context.world.leader_name
    context.world.isolate_host(context.previous_leader)


def _other_leaders(context):
    return [
        name
        for name, host in context.world.host_by_name.items()
        if host.leader is not None and name != context.previous_leader
    ]


@then("another host leads")
def step_other_host_leads(context):
    assert len(_other_leaders(context)) == 1, _other_leaders(context)


@then("no other host leads")
def step_no_other_leads(context):
    assert not _other_leaders(context), _other_leaders(context)


@when("the leader's partition of the store is down for {seconds:g} s")
def step_partition_down(context, seconds):
    world = context.world
    context.previous_leader = world.leader_name
    world.platform.store.down_partitions.add("")
    world.advance_time(seconds)
    world.platform.store.down_partitions.discard("")


@then("the same host leads")
def step_same_host_leads(context):
    assert context.world.leader_name == context.previous_leader


@then("the new leader has sent a command for a host")
def step_new_leader_commanded(context):
    world = context.world
    senders = [entry[3] for entry in world.platform.host_commands]
    assert world.leader_name in senders, senders


@when("the leader's connections to the hosts API open {seconds:g} s late")
def step_late_connections(context, seconds):
    world = context.world
    world.client_by_name[world.leader_name].hosts_connect_delay_s = seconds


@then("each host gets commands from one sender within its lease")
def step_one_sender(context):
    context.world.check_senders()
    senders = {entry[3] for entry in context.world.platform.host_commands}
    assert len(senders) > 1, senders


@when(
    "the runners can't be reached for {seconds:g} s once its tasks have ended"
)
def step_unreachable_at_end(context, seconds):
    world = context.world
    while not any(entry[1] == "done" for entry in world.platform.record):
        world.advance_time(0.005)
    runners = list(world.platform.runner_by_address.values())
    # By now the list of ended tasks has arrived; its acknowledgement is lost.
    world.advance_time(0.02)
    for runner in runners:
        runner.reachable = False
    world.advance_time(seconds)
    for runner in runners:
        runner.reachable = True


@when("the configuration changes and the store drops its history")
def step_drop_history(context):
    world = context.world
    world.config["version"] += 1
    world.put_config()
    world.platform.store.compact_history()


@when('job "{job_id}" is stored once a leader has read one partition')
def step_store_after_list(context, job_id):
    step = job_models.Step(1, job_models.Capacity(2000, 1000), 1.0)
    job = job_models.Job(
        job_id, context.queue, "press", "north", "x", (step,), 0.0
    )
    key = {
        "table": records.JOBS_TABLE,
        "part": records.job_partition(job_id),
        "key": job_id,
    }
    value = base64.b64encode(records.encode_job(job)).decode()
    body = {
        "expectedRev": [{**key, "schemaVersion": 0}],
        "setKeys": [{**key, "value": value}],
        "delete": [],
    }
    store = context.world.platform.store

    def store_job():
        path = "/azurevane/rows-tx"
        response = store.handle_request("POST", path, {}, body)
        assert response.status == 200, response

    store.on_job_partition_read = store_job


@then("every host has the newest configuration")
def step_newest_config(context):
    newest = context.world.config["version"]
    versions = {
        name: host.job_handler.config.version
        for name, host in context.world.host_by_name.items()
    }
    assert set(versions.values()) == {newest}, versions


@given("tasks that need more than any host has")
def step_large_tasks(context):
    context.task_cpu = 10**6


@given("{count:d} jobs of 1 task were submitted {seconds:g} s ago")
def step_submitted_before(context, count, seconds):
    for number in range(1, count + 1):
        response = context.world.submit_job(
            context.queue, f"{number:016x}", [_job(1, cpu=context.task_cpu)]
        )
        assert response.status == 200, response
    context.world.advance_time(seconds)


@when("{count:d} jobs of 1 task are submitted to the other hosts at once")
def step_submit_at_once(context, count):
    world = context.world
    phase = _job(1, cpu=context.task_cpu)
    body = json.dumps({"spec": "x", "phases": [phase]}).encode()
    responses = []
    for number in range(count):
        request = job_handler.JobRequest(
            method="POST",
            host_name=site_world.HOST_NAME,
            path=f"/{context.queue}/{number + 0xAA0:016x}",
            authorization=f"Bearer {site_world.KEY}",
            body=body,
        )
        others = [
            host
            for name, host in world.host_by_name.items()
            if name != context.previous_leader
        ]
        handler = others[number % len(others)].job_handler
        handling = defer.ensureDeferred(handler.handle(request))
        handling.addCallback(responses.append)
    world.advance_time(1.0)
    assert [response.status for response in responses] == [200] * count


@when("all hosts are killed and one restarts {seconds:g} s later")
def step_restart_one(context, seconds):
    world = context.world
    names = list(world.host_by_name)
    for name in names:
        world.kill_host(name)
    world.advance_time(seconds)
    world.start_host(names[-1])


@then(
    "for {seconds:g} s each count of pending jobs is at least {least:d}, or"
    " refused"
)
def step_counts(context, seconds, least):
    world = context.world
    end = world.clock.seconds() + seconds
    counts = []
    while world.clock.seconds() < end:
        for host in list(world.host_by_name):
            answer = world.send_request("GET", f"/{context.queue}/", host=host)
            if answer.status == 200:
                counts.append(json.loads(answer.body)["pending"])
            else:
                assert answer.status == 503, answer
        world.advance_time(0.1)
    assert counts, "no count was shown"
    assert min(counts) >= least, counts
