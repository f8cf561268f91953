"""Steps about fleets of many hundred hosts."""

from behave import given
from behave import then
import msgspec

from azurevane._internal.models import job as job_models
from azurevane._internal.models import site
from azurevane._internal.scheduler import leadership
from azurevane._internal.scheduler import renewals
from azurevane._internal.scheduler import runner_state
from azurevane._internal.scheduler import scheduler_state
from azurevane._internal.scheduler import store_clock
from azurevane._internal.scheduler import unstored_starts
from support import site_world

NOW = 1000.0
STORE_NOW_S = 5000.0
ROW_BYTES = 65536
LEASE_S = 5.0
LEASE_MAX_S = 10.0


@given(
    "a site on {count:d} hosts and a store whose rows hold at most {size:d}"
    " bytes"
)
def make_site(context, count, size):
    world = context.world = site_world.SiteWorld()
    world.platform.store.max_row_bytes = size
    world.add_service("press")
    world.add_service("reserve", standby=True)
    world.add_queue("fit", "press")
    world.add_machines(count, "press")
    world.start()


@then("the first leader still leads")
def check_first_leader(context):
    world = context.world
    assert world.host_by_name[world.leader_name].leader.token == 1


@then("at most {count:d} commands for hosts were sent in any second")
def check_command_rate(context, count):
    sent_at = sorted(
        command[0] for command in context.world.platform.host_commands
    )
    assert sent_at
    # The bucket may be full when a second begins.
    for first, at in enumerate(sent_at):
        in_second = [other for other in sent_at[first:] if other - at < 1.0]
        assert len(in_second) <= 2 * count, (at, len(in_second))


def _clock():
    return store_clock.StoreClock.from_response(
        STORE_NOW_S, sent_at=NOW, handled_at=NOW
    )


def _make_state(context, count):
    state = scheduler_state.SchedulerState(0.0, LEASE_S, LEASE_MAX_S)
    for number in range(count):
        entry = site.Runner(
            id=f"i-{number:010x}",
            started_at=1.0,
            address="10.1.64.1:8708",
            service="press",
            zone="east",
            draining=False,
            capacity=job_models.Capacity(32000, 131072),
            labels=frozenset(),
            rack="r1",
            clock_s=100.0,
        )
        state.runner_by_id[entry.id] = runner_state.RunnerState(
            entry, NOW, NOW + 3.0 + number / 2000, LEASE_MAX_S
        )
    context.state = state
    return state.runner_by_id.values()


def _renew(context, names=()):
    renewal = renewals.Renewals(1, context.state, 0.0, ROW_BYTES)
    context.row = renewal.encode(NOW, _clock(), {}, names, all_read=True)
    view = leadership.LeaderView(
        "entry-2", NOW, delay_s=0.0, jitter_s=0.0, address=None
    )
    row = leadership.encode_leader_row("entry-1", 1)
    view.update_row(leadership.LEADER_KEY, row, 1, NOW)
    view.update_row(leadership.RENEWAL_KEY, context.row, 2, NOW)
    view.record_view(NOW)
    view.record_term_ended(1, "gave up", may_be_alive=False)
    context.previous = previous = view.takeover_due(NOW).previous
    context.next_state = renewals.make_scheduler_state(
        previous,
        _clock(),
        NOW,
        lease_s=LEASE_S,
        lease_max_s=LEASE_MAX_S,
        runner_stop_s=0.0,
    )


@given("{count:d} runners with tasks that the leader can't reach")
def make_unreachable(context, count):
    for runner in _make_state(context, count):
        runner.unreachable = True
        runner.run_by_task = {"task": None}
    _renew(context)


@given("{count:d} more that get tasks from a store that is slow")
def make_slow(context, count):
    unreachable = dict(context.state.runner_by_id)
    for runner in _make_state(context, 2 * count):
        if runner.id in unreachable:
            context.state.runner_by_id[runner.id] = unreachable[runner.id]
        runner.fenced = True
    starts = unstored_starts.UnstoredStarts(context.state, (), ROW_BYTES)
    starts.record_slow_write(NOW)
    context.names = starts.names_to_store(NOW)
    assert len(context.names) > 200, len(context.names)
    _renew(context, context.names)


@then("the next leader waits for the runners that it names")
def check_awaited(context):
    assert set(context.previous.unstored_runners) == context.names


@given("{count:d} runners that restarted {ago:g} s ago")
def make_restarted(context, count, ago):
    for runner in _make_state(context, count):
        runner.start_incarnation(2.0, NOW - ago)
    _renew(context)


@then("its renewal fits into a row of {size:d} bytes")
def check_size(context, size):
    assert len(context.row) <= size, len(context.row)


@then("the next leader waits for each of them as long as before")
def check_expiries(context):
    for runner_id, runner in context.state.runner_by_id.items():
        assert context.next_state.unreached_until_of(runner_id) >= (
            runner.lease_end().at - 1e-6
        )


@then("it waits no longer for those that the row names")
def check_named(context):
    named = msgspec.json.decode(context.row)["lapse_by_runner"]
    assert len(named) > 300, len(named)
    for runner_id in named:
        expires_at = context.state.runner_by_id[runner_id].lease_end().at
        until = context.next_state.unreached_until_of(runner_id)
        assert abs(until - expires_at) < 0.1, (until, expires_at)


@then("the next leader assumes for each of them the lease of before")
def check_restarted(context):
    for runner_id, runner in context.state.runner_by_id.items():
        until = context.next_state.unreached_until_of(runner_id)
        assert until >= runner.kept_lease_until - 1e-6, (until, runner_id)
