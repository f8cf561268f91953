"""Steps about the deletion of the rows of ended jobs."""

import collections

from behave import then
from behave import when

from support import site_world

# Beyond the time for which the rows of ended jobs are kept.
_KEPT_S = site_world.BOUNDS.job_kept_s + 60.0


@when(
    "{count:d} jobs of one partition are done, and their time to be kept is"
    " over"
)
def step_let_expire(context, count):
    world = context.world
    phase = {"count": 1, "cpu": 1000, "memMb": 64}
    first_at = world.clock.seconds()
    for number in range(count):
        job_id = f"{number + 0xD00:016x}"
        response = world.submit_job(context.queue, job_id, [phase])
        assert response.status == 200, response
    world.step_s = 0.05
    while world.clock.seconds() < first_at + _KEPT_S - 2.0:
        world.advance_time(1.0)
    world.step_s = site_world.STEP_S
    context.row_count = _job_row_count(world)


def _job_row_count(world):
    leader = world.host_by_name[world.leader_name].leader
    return len(leader.scheduler_state.job_by_id)


@when(
    "the store answers {delay:g} s later and drops its history {count:d}"
    " times, {gap:g} s apart"
)
def step_drop_often(context, delay, count, gap):
    world = context.world
    world.platform.store_delay_s = delay
    for _ in range(count):
        world.platform.store.compact_history()
        world.advance_time(gap)
    world.platform.store_delay_s = 0.0


@then("rows of jobs were deleted")
def step_deleted(context):
    assert _job_row_count(context.world) < context.row_count


@then("no job ran again")
def step_none_again(context):
    starts = collections.Counter(
        task
        for _, event, _, task, _ in context.world.platform.record
        if event == "start"
    )
    again = {task: count for task, count in starts.items() if count > 1}
    assert not again, again
