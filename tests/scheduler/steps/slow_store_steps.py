"""Steps about a rise of demand while the store is slow."""

from behave import then
from behave import when

from support import slow_rise


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
