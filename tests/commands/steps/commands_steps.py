import http.server
import json
import os
import pathlib
import subprocess
import threading
import urllib.request

from behave import given
from behave import then
from behave import when

from support import processes

ROOT = pathlib.Path(__file__).resolve().parents[3]


def run_command(context, line):
    context.completed = subprocess.run(
        [str(processes.PROGRAMS / "azurevane"), *line.split()],
        cwd=ROOT,
        env={
            **os.environ,
            "AZUREVANE_URL": context.url,
            "AZUREVANE_TOKEN": processes.OPERATORS_TOKEN,
        },
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert "Traceback" not in context.completed.stderr
    return context.completed


@given('a running entry host with the example manifest "{name}" applied')
def start_entry(context, name):
    context.site = processes.SiteProcesses(context.scratch.name)
    context.site.start_platform()
    context.site.assign_entry_ports({"entry-1": "ng-west-a"})
    context.site.start_entry("entry-1")
    port = context.site.port_by_name["entry-1-operators"]
    context.url = f"http://127.0.0.1:{port}"
    completed = run_command(
        context, f"manifest apply examples/{name}.json --base-version 0"
    )
    assert completed.returncode == 0, completed.stderr


@given("no running entry host")
def use_closed_port(context):
    (port,) = processes.free_ports(1)
    context.url = f"http://127.0.0.1:{port}"


@given("the first address drops the response of every change")
def start_proxy(context):
    target = context.url

    class ResponseDropper(http.server.BaseHTTPRequestHandler):
        def do_POST(self):
            length = int(self.headers["Content-Length"])
            request = urllib.request.Request(
                target + self.path,
                data=self.rfile.read(length),
                headers=dict(self.headers),
                method="POST",
            )
            urllib.request.urlopen(request).read()
            self.connection.close()

        def log_message(self, *_):
            pass

    context.proxy = http.server.ThreadingHTTPServer(
        ("127.0.0.1", 0), ResponseDropper
    )
    threading.Thread(target=context.proxy.serve_forever, daemon=True).start()
    port = context.proxy.server_address[1]
    context.url = f"http://127.0.0.1:{port},{target}"


@when('"{line}" is run')
def run_change(context, line):
    context.last_change = run_command(context, line)
    assert context.completed.returncode == 0, context.completed.stderr


@then('"{line}" exits with {code:d}')
def check_exit_code(context, line, code):
    completed = run_command(context, line)
    assert completed.returncode == code, (
        completed.returncode,
        completed.stdout,
        completed.stderr,
    )


@then('"{line}" prints "{text}"')
def check_output(context, line, text):
    completed = run_command(context, line)
    assert text in completed.stdout + completed.stderr, completed


@then('"{line}" prints JSON with "{key}" as "{value}"')
def check_json(context, line, key, value):
    completed = run_command(context, line)
    assert json.loads(completed.stdout)[key] == value


@then('the last change printed "{text}"')
def check_change_output(context, text):
    assert text in context.last_change.stdout, context.last_change


@then("a call without the credential gets status {status:d}")
def check_credential(context, status):
    response = processes.http_call("GET", f"{context.url}/v1/state")
    assert response[0] == status, response
