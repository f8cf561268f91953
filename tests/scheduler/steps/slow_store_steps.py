"""Steps about a rise of demand while the store is slow."""

import collections

from behave import then
from behave import when

from azurevane._internal.scheduler import records
from support import site_world
from support import slow_rise


@when("a job of 1 task is submitted to each host")
def step_submit_to_each(context):
    _submit_to(context, list(context.world.host_by_name))


@when("a job of 1 task is submitted to a host that doesn't lead")
def step_submit_to_one(context):
    world = context.world
    others = [name for name in world.host_by_name if name != world.leader_name]
    _submit_to(context, others[:1])


def _submit_to(context, host_names):
    world = context.world
    store = world.platform.store
    context.submissions = []
    context.submitted = len(host_names)
    handle_request = store.handle_request

    def count_request(method, path, query, body):
        if path.endswith("rows-tx"):
            context.submissions += [
                entry["key"]
                for entry in body["setKeys"]
                if entry["table"] == records.JOBS_TABLE
            ]
        return handle_request(method, path, query, body)

    store.handle_request = count_request
    phase = {"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 500}
    for number, host in enumerate(host_names):
        job_id = f"{number:x}00000000000000d"
        response = world.submit_job(context.queue, job_id, [phase], host=host)
        assert response.status == 200, response


@then("the store got {count:d} transaction for each of them")
def step_transactions(context, count):
    by_job = collections.Counter(context.submissions)
    assert len(by_job) == context.submitted, by_job
    assert set(by_job.values()) == {count}, by_job


@when("another host has taken the lead")
def step_wait_for_leader(context):
    world = context.world
    while world.leader_name is None:
        world.advance_time(site_world.STEP_S)


@then('more than {count:d} tasks of job "{job_id}" have started')
def step_many_started(context, count, job_id):
    starts = context.world.task_starts(job_id)
    assert len(starts) > count, len(starts)


@when("{count:d} jobs are sent over {seconds:g} s")
def step_send_jobs(context, count, seconds):
    world = context.world
    if not hasattr(context, "rise"):
        context.rise = slow_rise.Rise(world, context.queue)
    hosts = world.platform.host_by_name.values()
    context.ready_hosts = sum(host.runner is not None for host in hosts)
    context.jobs = context.rise.send_jobs(count / seconds, seconds)


@then("at least {share:g} of those that can be are completed in time")
def step_in_time(context, share):
    platform = context.world.platform
    in_time = sum(job.in_time for job in context.jobs)
    best = slow_rise.best_in_time(
        [job.sent_at for job in context.jobs],
        ready_hosts=context.ready_hosts,
        hosts=len(platform.host_by_name),
        response_s=platform.store_delay_s,
    )
    assert in_time >= share * best, (in_time, best)
