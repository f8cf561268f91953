import hashlib
import json
import time

from behave import given
from behave import then
from behave import when

from support import manifests
from support import processes


@given(
    'a site for tasks with workers "{workers}" and control daemons "{names}"'
)
def start_site(context, workers, names):
    site = processes.SiteProcesses(context.scratch.name)
    context.site = site
    site.start_platform()
    site.workers = workers.split(",")
    for worker in site.workers:
        site.call_platform("POST", f"/workers/{worker}/add", {})
    entries = names.split(",")
    site.assign_entry_ports(dict.fromkeys(entries, "az-a"))
    for name in entries:
        site.start_entry(name)
    manifest = manifests.small_manifest(site, "quoting", "mills")
    manifest["queues"][0]["teams"] = ["mills", "other"]
    manifest["teams"].append(
        {"name": "other", "share": 1.0, "limit": 4, "task_limit": 1}
    )
    assert site.make_change(entries[0], "manifest", manifest)[0] == 200
    for team in ("mills", "other"):
        digest = hashlib.sha256(f"{team}-key".encode()).hexdigest()
        grant = {"digest": digest, "team": team}
        assert site.make_change(entries[0], "key-grant", grant)[0] == 200
    for name in entries:
        site.start_control(name)
    context.entries = entries
    context.id_by_name = {}


def call_entry(context, team, method, path, body=None, request_id=None):
    headers = {"Authorization": f"Bearer {team}-key"}
    if request_id:
        headers["Idempotency-Key"] = request_id
    data = None if body is None else json.dumps(body).encode()
    # The last entry host: the control daemon of the first may be stopped.
    status, _, answer = context.site.call_entry(
        context.entries[-1], method, path, data, headers
    )
    return status, json.loads(answer)


@when('team "{team}" submits a task of {run_s:g} seconds as "{name}"')
def submit_task(context, team, run_s, name):
    def accepted():
        status, body = call_entry(
            context, team, "POST", "/t/quoting", {"run_s": run_s}, name
        )
        if status == 202:
            context.id_by_name[name] = body["task_id"]
        return status == 202

    processes.wait_until(accepted, timeout=8)


def read_phase(context, name):
    path = f"/t/quoting/{context.id_by_name[name]}"
    status, body = call_entry(context, "mills", "GET", path)
    return body["phase"] if status == 200 else status


@then('task "{name}" is {wanted} within {seconds:d} seconds')
def check_phase(context, name, wanted, seconds):
    processes.wait_until(lambda: read_phase(context, name) == wanted, seconds)


@when('task "{name}" is running')
def wait_until_running(context, name):
    processes.wait_until(lambda: read_phase(context, name) == "running", 10)
    processes.wait_until(lambda: count_starts(context, name) == 1, 5)


@then('team "{team}" sees no task "{name}"')
def check_hidden_from_team(context, team, name):
    path = f"/t/quoting/{context.id_by_name[name]}"
    assert call_entry(context, team, "GET", path)[0] == 404
    assert call_entry(context, team, "DELETE", path)[0] == 404
    assert call_entry(context, team, "GET", "/t/quoting") == (200, [])


@when('team "{team}" cancels task "{name}"')
def cancel_task(context, team, name):
    path = f"/t/quoting/{context.id_by_name[name]}"
    assert call_entry(context, team, "DELETE", path)[0] == 202


def count_starts(context, name):
    task_id = context.id_by_name[name]
    return sum(
        started == task_id
        for worker in context.site.workers
        for started, _ in context.site.call_platform(
            "GET", f"/workers/{worker}/starts"
        )[1]
    )


@then('task "{name}" was started once')
def check_started_once(context, name):
    assert count_starts(context, name) == 1, count_starts(context, name)


@then(
    'a repeated submission of "{name}" returns the same task, which runs once'
)
def check_repeated_submission(context, name):
    before = context.id_by_name[name]
    submit_task(context, "mills", 0.5, name)
    assert context.id_by_name[name] == before
    time.sleep(1.5)
    check_started_once(context, name)


@when("the controlling daemon gets signal {number:d}")
def signal_controller(context, number):
    _, row = context.site.call_platform(
        "GET", "/table/row?name=controller/pool-1"
    )
    context.controller = f"{row['value']['holder']}-control"
    context.site.send_signal(context.controller, number)


@when("the suspended daemon gets signal {number:d}")
def signal_suspended(context, number):
    context.site.send_signal(context.controller, number)


@when("the table is down")
def take_table_down(context):
    context.site.call_platform(
        "PUT", "/faults", {"down": True, "only": "/table"}
    )


@then('a submission of team "{team}" is refused as not run')
def check_refused_not_run(context, team):
    status, body = call_entry(
        context, team, "POST", "/t/quoting", {"run_s": 1.0}
    )
    assert status == 503, body
    assert body["verdict"] == "not-run", body


@when("{seconds:d} seconds go by and the table is up")
def wait_and_restore_table(context, seconds):
    time.sleep(seconds)
    context.site.call_platform("PUT", "/faults", {})
