import hashlib
import json

from behave import given
from behave import then
from behave import when

from support import manifests
from support import processes


@given('a site with entry hosts "{entries}" and runners "{runners}"')
def start_site(context, entries, runners):
    context.site = processes.SiteProcesses(context.scratch.name)
    context.site.start_platform()
    context.site.start_runners(runners.split(","))
    zones = ["az-a", "az-b", "az-c", "az-d"]
    names = entries.split(",")
    context.site.assign_entry_ports(
        {name: zones[i % len(zones)] for i, name in enumerate(names)}
    )
    for name in names:
        context.site.start_entry(name)


@given('a control daemon beside "{entry}" and a worker "{worker}"')
def start_control(context, entry, worker):
    context.site.workers = [worker]
    context.site.call_platform("POST", f"/workers/{worker}/add", {})
    context.site.start_control(entry)


@when(
    'a manifest with queue "{queue}" and team "{team}" is applied at "{entry}"'
)
def apply_manifest(context, queue, team, entry):
    manifest = manifests.small_manifest(context.site, queue, team)
    status, body = context.site.make_change(entry, "manifest", manifest)
    assert status == 200, body


@when('a key "{api_key}" is granted to "{team}" at "{entry}"')
def grant_key(context, api_key, team, entry):
    digest = hashlib.sha256(api_key.encode()).hexdigest()
    status, body = context.site.make_change(
        entry, "key-grant", {"digest": digest, "team": team}
    )
    assert status == 200, body
    context.version = body["version"]


@when(
    'a caller sends "{method}" "{path}" to "{entry}" with key "{api_key}"'
    ' and body "{body}"'
)
def send_request(context, method, path, entry, api_key, body):
    def send_and_check_routed():
        context.answer = context.site.call_entry(
            entry,
            method,
            path,
            body.encode(),
            {"Authorization": f"Bearer {api_key}", "X-Request-Id": "r-1"},
        )
        return context.answer[0] not in (404, 503)

    processes.wait_until(send_and_check_routed, timeout=5)
    if api_key != "stolen" and context.answer[0] == 401:
        processes.wait_until(
            lambda: send_and_check_routed() and context.answer[0] != 401,
            timeout=5,
        )


@then('the answer has status {status:d} and belongs to body "{body}"')
def check_answer(context, status, body):
    assert context.answer[0] == status, context.answer
    digest = hashlib.sha256(body.encode()).hexdigest()
    assert json.loads(context.answer[2])["digest"] == digest


@then('the answer has status {status:d} and verdict "{verdict}"')
def check_refusal(context, status, verdict):
    assert context.answer[0] == status, context.answer
    problem = json.loads(context.answer[2])
    assert problem["verdict"] == verdict, problem
    assert problem["status"] == status, problem


@then('the log of "{name}" shows event {number:d}')
def check_log(context, name, number):
    path = context.site.directory / f"{name}.log"

    def logged():
        lines = path.read_text().splitlines()
        return any(
            json.loads(line).get("event") == number
            for line in lines
            if line.startswith("{")
        )

    processes.wait_until(logged, timeout=5)


@when('a task "{task_id}" of team "{team}" is in the table')
def add_task(context, task_id, team):
    task = {"task_id": task_id, "queue": "quoting", "team": team, "run_s": 0.5}
    status, _ = context.site.call_platform(
        "POST",
        "/table/transact",
        {
            "token": "t",
            "checks": {},
            "puts": {
                f"task/quoting/{task_id}": task,
                f"inbox/pool-1/submit/{task_id}": {"queue": "quoting"},
            },
        },
    )
    assert status == 200


@then('the task "{task_id}" finishes within {seconds:d} seconds')
def check_task(context, task_id, seconds):
    def finished():
        _, row = context.site.call_platform(
            "GET", f"/table/row?name=ended/quoting/{task_id}"
        )
        return (row["value"] or {}).get("phase") == "finished"

    processes.wait_until(finished, timeout=seconds)
