import hashlib
import http.client
import json
import signal
import threading
import time

from behave import given
from behave import then
from behave import when

from support import manifests
from support import processes

HEADERS = {"Authorization": "Bearer mills-key"}


@given('its queue "{queue}" serves team "{team}" with key "{api_key}"')
def configure_queue(context, queue, team, api_key):
    entry = next(iter(context.site.zone_by_entry))
    manifest = manifests.small_manifest(context.site, queue, team)
    manifest["teams"][0]["limit"] = 300
    # Request ids can only be claimed at seats that have a holder.
    manifest["entry_seats"] = len(context.site.zone_by_entry)
    digest = hashlib.sha256(api_key.encode()).hexdigest()
    key = {"digest": digest, "team": team}
    for kind, content in (("manifest", manifest), ("key-grant", key)):
        processes.wait_until(
            lambda kind=kind, content=content: (
                context.site.make_change(entry, kind, content)[0] == 200
            )
        )
    for name in context.site.zone_by_entry:
        processes.wait_until(
            lambda name=name: (
                send_request(context, name, f"warm-up-{name}")[0] == 200
            )
        )


def send_request(context, name, request_id, run_ms=0):
    """Send a keyed request on a new connection; return status and headers."""
    status, headers, body = context.site.call_entry(
        name,
        "POST",
        "/q/quoting/price",
        request_id.encode(),
        {
            **HEADERS,
            "X-Request-Id": request_id,
            "X-Run-Ms": str(run_ms),
            "Idempotency-Key": request_id,
        },
    )
    if status == 200:
        assert json.loads(body)["request_id"] == request_id, body
    return status, headers


class Balancer:
    """Checks every 0.1 s which entry processes are ready."""

    def __init__(self, site):
        self._site = site
        self.ready = set()
        self.stopped = threading.Event()
        self.check_readiness()
        threading.Thread(target=self._run, daemon=True).start()

    def check_readiness(self):
        for name in self._site.zone_by_entry:
            try:
                up = self._site.call_entry(name, "GET", "/readyz")[0] == 200
            except OSError:
                up = False
            (self.ready.add if up else self.ready.discard)(name)

    def _run(self):
        while not self.stopped.wait(0.1):
            self.check_readiness()


class Caller(threading.Thread):
    """Sends requests over open connections, to ready processes only."""

    def __init__(self, context, balancer, number):
        super().__init__(daemon=True)
        self._context = context
        self._balancer = balancer
        self._number = number
        self._connection_by_name = {}
        self.faults = []
        self.sent = []

    def run(self):
        while not self._balancer.stopped.is_set():
            ready = sorted(self._balancer.ready)
            if not ready:
                time.sleep(0.01)
                continue
            name = ready[len(self.sent) % len(ready)]
            request_id = f"order-{self._number}-{len(self.sent)}"
            self.sent.append(request_id)
            try:
                self._send(name, request_id)
            except (OSError, http.client.HTTPException) as fault:
                self.faults.append((name, request_id, repr(fault)))
                self._connection_by_name.pop(name, None)

    def _send(self, name, request_id):
        for other in set(self._connection_by_name) - self._balancer.ready:
            self._connection_by_name.pop(other).close()
        connection = self._connection_by_name.get(name)
        if connection is None:
            port = self._context.site.port_by_name[name]
            connection = http.client.HTTPConnection("127.0.0.1", port)
            self._connection_by_name[name] = connection
        headers = {**HEADERS, "X-Request-Id": request_id, "X-Run-Ms": "50"}
        if self._number % 2:
            headers["Idempotency-Key"] = request_id
        connection.request("POST", "/q/quoting/price", request_id, headers)
        answer = connection.getresponse()
        body = answer.read()
        if (
            answer.status != 200
            or json.loads(body)["request_id"] != request_id
        ):
            self.faults.append((name, request_id, answer.status, body))


@when(
    "{count:d} callers behind a balancer send requests while each entry"
    " process is restarted"
)
def restart_all_entries(context, count):
    balancer = Balancer(context.site)
    context.callers = [
        Caller(context, balancer, number) for number in range(count)
    ]
    for caller in context.callers:
        caller.start()
    for name in context.site.zone_by_entry:
        time.sleep(0.5)
        context.site.send_signal(name, signal.SIGTERM)
        assert context.site.process_by_name[name].wait(timeout=15) == 0
        context.site.start_entry(name)
        processes.wait_until(
            lambda name=name: name in balancer.ready, timeout=15
        )
    balancer.stopped.set()
    for caller in context.callers:
        caller.join(timeout=15)


def find_seat_events(context):
    """Return the log lines about seats, for the failure message."""
    return [
        (path.stem, line)
        for path in sorted(context.site.directory.glob("entry-*.log"))
        for line in path.read_text().splitlines()
        if '"event":1005' in line or '"event":1020' in line
    ]


@then("no request was cut off, refused or run more than once")
def check_requests(context):
    faults = [fault for item in context.callers for fault in item.faults]
    assert not faults, (faults[:5], find_seat_events(context))
    sent = {request_id for item in context.callers for request_id in item.sent}
    assert len(sent) > 300, len(sent)
    runs = context.site.call_runner("quote-1", "GET", "/record")[
        "runs_by_request"
    ]
    assert {
        request_id: runs.get(request_id) for request_id in sent
    } == dict.fromkeys(sent, 1)


@when('"{name}" gets SIGTERM while a request of {seconds:d} s runs')
def stop_while_running(context, name, seconds):
    context.name = name
    context.answers = []
    context.running_caller = threading.Thread(
        target=lambda: context.answers.append(
            send_request(context, name, "long", seconds * 1000)
        )
    )
    context.running_caller.start()
    time.sleep(0.3)
    context.site.send_signal(name, signal.SIGTERM)
    context.stopped_at = time.monotonic()


@then('it is unready at once and still answers with "Connection: close"')
def check_unready(context):
    processes.wait_until(
        lambda: (
            context.site.call_entry(context.name, "GET", "/readyz")[0] == 503
        ),
        timeout=0.5,
    )
    status, headers = send_request(context, context.name, "late")
    assert status == 200 and headers["Connection"] == "close", headers


@then("it refuses connections after {seconds:d} s")
def check_port_closed(context, seconds):
    time.sleep(context.stopped_at + seconds - time.monotonic())
    try:
        context.site.call_entry(context.name, "GET", "/healthz")
    except OSError:
        return
    raise AssertionError("it still accepts connections")


@then("the request of 4 s is answered whole and the process ends with 0")
def check_finished(context):
    context.running_caller.join(timeout=10)
    assert [status for status, _ in context.answers] == [200]
    process = context.site.process_by_name[context.name]
    assert process.wait(timeout=5) == 0
