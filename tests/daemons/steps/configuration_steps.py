import concurrent.futures
import copy
import json
import signal
import time

from behave import given
from behave import then
from behave import when

from azurevane._internal.models import fleet
from support import manifests
from support import processes

NAMES = [f"entry-{number}" for number in range(1, 7)]
DIGEST = fleet.digest_api_key("mills-key")
CHANGES = {
    "key-withdraw": {"digest": DIGEST},
    "zone-out": {"zone": "az-b"},
    "drain": {"name": "quote-2"},
}


def request(context, name, key="mills-key"):
    """Return the status and the runner of one request."""
    try:
        status, _, body = context.site.call_entry(
            name,
            "GET",
            "/q/quoting/price",
            headers={"Authorization": f"Bearer {key}"},
            timeout=40,
        )
    except OSError:
        return 0, None
    return status, json.loads(body).get("runner") if status == 200 else None


def violates_change(context, kind, name):
    """Return whether a host's next answers violate a change."""
    answers = [request(context, name) for _ in range(4)]
    if kind == "key-withdraw":
        return any(status not in (401, 503) for status, _ in answers)
    # "quote-2" is the only runner of the zone "az-b".
    return any(runner == "quote-2" for _, runner in answers)


def find_violating_hosts(context, kind, names):
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        found = pool.map(
            lambda name: violates_change(context, kind, name), names
        )
        return [
            name
            for name, violating in zip(names, found, strict=True)
            if violating
        ]


@given('six entry hosts with seats, a team "{team}" and its key "{key}"')
def start_site(context, team, key):
    site = context.site = processes.SiteProcesses(context.scratch.name)
    context.suspended = []
    site.start_platform()
    site.start_runners(["quote-1", "quote-2", "quote-3"])
    site.assign_entry_ports(dict.fromkeys(NAMES, "az-a"))
    site.start_entries(NAMES)
    context.manifest = manifests.small_manifest(site, "quoting", team)
    status, body = site.make_change("entry-1", "manifest", context.manifest)
    assert status == 200, body
    processes.wait_until(
        lambda: len(site.status("entry-1")["seats"]) == 6, timeout=30
    )
    status, body = site.make_change(
        "entry-1", "key-grant", {"digest": DIGEST, "team": team}
    )
    assert status == 200, body

    def all_serve():
        return all(request(context, name)[0] == 200 for name in NAMES)

    processes.wait_until(all_serve, timeout=15)


def set_faults(context, **faults):
    assert context.site.call_platform("PUT", "/faults", faults)[0] == 200


@given("no fault")
def no_fault(context):
    pass


@given("the store goes down at the acceptance")
def set_store_down_at_acceptance(context):
    set_faults(context, down_after="/table/transact")


@given("the store is down")
def set_store_down(context):
    set_faults(context, down=True)


@given("the store loses the answers to writes")
def set_answers_lost(context):
    set_faults(context, lose_answers=True, only="/table/transact")


@given('"{name}" is suspended')
def suspend_host(context, name):
    context.site.send_signal(name, signal.SIGSTOP)
    context.suspended.append(name)


def running_hosts(context):
    return [name for name in NAMES if name not in context.suspended]


@when('"{name}" makes the change {kind}')
def make_change(context, name, kind):
    content = CHANGES.get(kind)
    if kind == "share":
        kind, content = "manifest", copy.deepcopy(context.manifest)
        content["teams"][0]["share"] = 3.0
    context.kind = kind
    context.sent_at = time.monotonic()
    context.status, context.body = context.site.make_change(
        name, kind, content
    )


@then(
    "the change is accepted and no running host violates it after"
    " {seconds:d} seconds"
)
def check_not_violated(context, seconds):
    assert context.status == 200, context.body
    # Counted from when the change was sent, which is before its acceptance.
    bound_at = context.sent_at + seconds
    violating = running_hosts(context)
    while violating and time.monotonic() < bound_at:
        violating = find_violating_hosts(
            context, context.kind, running_hosts(context)
        )
    while time.monotonic() < bound_at + 1.0:
        violating += find_violating_hosts(
            context, context.kind, running_hosts(context)
        )
    assert not violating, violating


@then('when "{name}" resumes and the store is up, no host ever violates it')
def check_not_violated_after_resume(context, name):
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        # Requests already wait in the socket buffer of the suspended host.
        waiting = pool.submit(
            find_violating_hosts, context, context.kind, [name]
        )
        time.sleep(0.2)
        context.site.send_signal(name, signal.SIGCONT)
        assert not waiting.result(), name
    set_faults(context)
    until = time.monotonic() + 3.0
    while time.monotonic() < until:
        violating = find_violating_hosts(context, context.kind, NAMES)
        assert not violating, violating
    versions = {context.site.status(name)["version"] for name in NAMES}
    assert versions == {context.body["version"]}, versions


@then("every running host has the version in force within {seconds:d} seconds")
def check_in_force(context, seconds):
    assert context.status == 200, context.body
    await_version(context, running_hosts(context), context.sent_at + seconds)
    assert context.body["in_force"] == len(running_hosts(context)), (
        context.body
    )


def await_version(context, names, bound_at):
    processes.wait_until(
        lambda: all(
            context.site.status(name)["version"] == context.body["version"]
            for name in names
        ),
        timeout=bound_at - time.monotonic(),
    )


@then('after "{name}" resumes it has the version within {seconds:d} seconds')
def check_version_after_resume(context, name, seconds):
    context.site.send_signal(name, signal.SIGCONT)
    await_version(context, [name], time.monotonic() + seconds)


@when('"{name}" is killed and started again')
def kill_and_start(context, name):
    process = context.site.process_by_name[name]
    process.kill()
    process.wait(timeout=10)
    context.site.start_entry(name)
    context.started_at = time.monotonic()


@then(
    '"{name}" is ready within {seconds:d} seconds and serves the key "{key}"'
)
def check_ready(context, name, seconds, key):
    processes.wait_until(
        lambda: context.site.call_entry(name, "GET", "/readyz")[0] == 200,
        timeout=context.started_at + seconds - time.monotonic(),
    )
    assert request(context, name, key)[0] == 200


@when('"{one}" and "{two}" make a change from the same version at once')
def change_concurrently(context, one, two):
    site = context.site
    base = site.status(one)["version"]

    def change(name, share):
        content = copy.deepcopy(context.manifest)
        content["teams"][0]["share"] = share
        return site.make_change(name, "manifest", content, base)

    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        answers = pool.map(change, (one, two), (2.0, 3.0))
        context.answers = sorted(answers, key=lambda item: item[0])


@then("one is accepted and the other is told the accepted version")
def check_conflict(context):
    (status, accepted), (other_status, conflict) = context.answers
    assert (status, other_status) == (200, 409), context.answers
    assert conflict["current_version"] == accepted["version"], context.answers
    assert conflict["changed"] == ["manifest.teams[mills]"], context.answers


@when('every entry host but "{name}" is suspended')
def suspend_others(context, name):
    for other in NAMES:
        if other != name:
            suspend_host(context, other)
    context.suspended_at = time.monotonic()


@then(
    '"{name}" is unready within {seconds:d} seconds and refuses the key'
    ' "{key}"'
)
def check_unready(context, name, seconds, key):
    processes.wait_until(
        lambda: context.site.call_entry(name, "GET", "/readyz")[0] == 503,
        timeout=context.suspended_at + seconds - time.monotonic(),
    )
    assert request(context, name, key)[0] == 503


def sent_bytes(context):
    return [
        context.site.status(name)["traffic"]["bytes_sent"] for name in NAMES
    ]


@when("{seconds:d} seconds pass at rest")
def measure_rates_at_rest(context, seconds):
    before, began = sent_bytes(context), time.monotonic()
    time.sleep(seconds)
    took = time.monotonic() - began
    context.rates = [
        (after - earlier) / took
        for after, earlier in zip(sent_bytes(context), before, strict=True)
    ]


@then(
    "every entry host has sent its peers {least:d} to {most:d} bytes a second"
)
def check_rates(context, least, most):
    assert all(least <= rate <= most for rate in context.rates), context.rates
