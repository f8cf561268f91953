"""Steps about the leader's rows as the hosts see them."""

from behave import given
from behave import then
from behave import when

from azurevane._internal.models import host_settings
from azurevane._internal.scheduler import leadership

ADDRESS = host_settings.Address("10.1.0.9", 7000)
# Token of the first leader.
TOKEN = 4


def _view(host):
    return leadership.LeaderView(
        host, 0.0, delay_s=0.0, jitter_s=0.0, address=ADDRESS
    )


def _update(context, key, value, now):
    context.version += 1
    for view in context.view_by_host.values():
        view.update_row(key, value, context.version, now)
        view.record_view(now)


@given('host "{host}" sees that host "{leader}" leads and is silent')
def step_view(context, host, leader):
    context.view_by_host = {"b": _view("b"), host: _view(host)}
    context.version, context.token = 0, TOKEN
    context.viewed_at = 0.0
    row = leadership.encode_leader_row(leader, TOKEN, ADDRESS)
    _update(context, leadership.LEADER_KEY, row, 0.0)
    renewal = leadership.encode_renewal(TOKEN, 1, {}, {}, {})
    _update(context, leadership.RENEWAL_KEY, renewal, 0.0)


def _takeover(context, host, now):
    view = context.view_by_host[host]
    # A host takes over only if it has followed the rows without a gap.
    while context.viewed_at < now:
        context.viewed_at = min(context.viewed_at + 0.5, now)
        for each in context.view_by_host.values():
            each.record_view(context.viewed_at)
    takeover = view.takeover_due(now)
    assert takeover is not None, "no takeover is due"
    return takeover


@when('host "{host}" takes over from the {how} leader at {now:g} s')
def step_take_over(context, host, how, now):
    takeover = _takeover(context, host, now)
    context.token = takeover.token
    _update(context, leadership.LEADER_KEY, takeover.leader_row_value, now)
    _update(context, leadership.RENEWAL_KEY, takeover.renewal_row_value, now)


@when('the process of host "{host}" ends before its first renewal')
def step_process_ends(context, host):
    for view in context.view_by_host.values():
        view.record_term_ended(context.token, "gave up", may_be_alive=False)


@when(
    'host "{host}" renews, and says that leases may be extended until'
    " {until:g} s"
)
def step_renew(context, host, until):
    renewal = leadership.encode_renewal(
        context.token, 1, {}, {}, {}, extends_leases_until=until
    )
    _update(context, leadership.RENEWAL_KEY, renewal, 10.5)


@when('host "{host}" releases the row at {now:g} s')
def step_release(context, host, now):
    row = leadership.encode_released_row(context.token, 0.0)
    _update(context, leadership.LEADER_KEY, row, now)


@when(
    'host "{host}" releases the row at {now:g} s and extends leases until'
    " {until:g} s"
)
def step_release_until(context, host, now, until):
    row = leadership.encode_released_row(context.token, until)
    _update(context, leadership.LEADER_KEY, row, now)


@then(
    'the takeover of host "{host}" at {now:g} s allows for leases still'
    " extended"
)
def step_allows(context, host, now):
    assert _takeover(context, host, now).previous.may_extend_leases


@then(
    'the takeover of host "{host}" at {now:g} s counts leases from {until:g}'
    " s on"
)
def step_counts_from(context, host, now, until):
    previous = _takeover(context, host, now).previous
    assert previous.extends_leases_until == until, previous
    assert not previous.may_extend_leases, previous
