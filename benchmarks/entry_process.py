"""entry.throughput.ratio and entry.latency.ratio, with real processes.

An entry process and the bare relay handle the same GET requests for the
same runners. Throughput is requests per second of processor time, so that
other load on the machine matters less. Latency is the p99 at half of the
relay's closed-loop rate, in the same run.
"""

import http.client
import pathlib
import statistics
import subprocess
import sys
import tempfile
import threading
import time

import psutil

HERE = pathlib.Path(__file__).resolve().parent
if str(HERE.parent / "tests") not in sys.path:
    sys.path.insert(0, str(HERE.parent / "tests"))

from support import manifests  # noqa: E402
from support import processes  # noqa: E402

TIMED = True

CALLERS = 8
CLOSED_LOOP_S = 4.0
PACED_LOOP_S = 5.0
API_KEY = "benchmark-key-0001"


def call_repeatedly(port, path, ends_at, interval_s, latencies):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    headers = {"Authorization": f"Bearer {API_KEY}"}
    due = time.perf_counter()
    while time.perf_counter() < ends_at:
        if interval_s:
            due += interval_s
            time.sleep(max(0.0, due - time.perf_counter()))
        started_at = time.perf_counter()
        connection.request("GET", path, headers=headers)
        answer = connection.getresponse()
        answer.read()
        assert answer.status == 200, answer.status
        latencies.append(time.perf_counter() - started_at)


def send_requests(port, path, seconds, rate=0.0):
    """Return the latencies of all requests of the callers."""
    latencies_by_caller = [[] for _ in range(CALLERS)]
    ends_at = time.perf_counter() + seconds
    interval_s = CALLERS / rate if rate else 0.0
    threads = [
        threading.Thread(
            target=call_repeatedly,
            args=(port, path, ends_at, interval_s, latencies),
        )
        for latencies in latencies_by_caller
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return [
        latency for latencies in latencies_by_caller for latency in latencies
    ]


def measure_closed(pid, port, path):
    """Return requests per processor second and per elapsed second."""
    process = psutil.Process(pid)
    before = process.cpu_times()
    request_count = len(send_requests(port, path, CLOSED_LOOP_S))
    after = process.cpu_times()
    cpu_s = after.user + after.system - before.user - before.system
    return request_count / cpu_s, request_count / CLOSED_LOOP_S


def p99(latencies):
    return statistics.quantiles(latencies, n=100)[98]


def start_entry(site):
    site.start_platform()
    site.start_runners(["quote-1", "quote-2"])
    site.assign_entry_ports({"entry-1": "az-a"})
    site.start_entry("entry-1")
    manifest = manifests.small_manifest(site, "quoting", "mills")
    manifest["entry_seats"] = 1
    manifest["teams"][0]["limit"] = 400
    for runner in manifest["runners"]:
        runner["slots"] = 64
    for kind, content in (
        ("manifest", manifest),
        (
            "key-grant",
            {
                "team": "mills",
                "digest": processes.hashlib.sha256(
                    API_KEY.encode()
                ).hexdigest(),
            },
        ),
    ):
        processes.wait_until(
            lambda kind=kind, content=content: (
                site.make_change("entry-1", kind, content)[0] == 200
            )
        )
    headers = {"Authorization": f"Bearer {API_KEY}"}
    processes.wait_until(
        lambda: (
            site.call_entry("entry-1", "GET", "/q/quoting/x", headers=headers)[
                0
            ]
            == 200
        )
    )


def start_relay(site):
    (port,) = processes.free_ports(1)
    target = f"http://127.0.0.1:{site.port_by_name['quote-1']}"
    site.process_by_name["relay"] = subprocess.Popen(
        [
            sys.executable,
            str(HERE / "bare_relay.py"),
            f"--port={port}",
            f"--target={target}",
        ]
    )
    processes.wait_until(
        lambda: (
            processes.http_call("GET", f"http://127.0.0.1:{port}/x")[0] == 200
        )
    )
    return port


def run():
    with tempfile.TemporaryDirectory() as scratch:
        site = processes.SiteProcesses(scratch)
        try:
            start_entry(site)
            relay_port = start_relay(site)
            entry_port = site.port_by_name["entry-1"]
            pid = {
                name: site.process_by_name[name].pid
                for name in ("entry-1", "relay")
            }
            path = "/q/quoting/x"
            entry, _ = measure_closed(pid["entry-1"], entry_port, path)
            relay, rate = measure_closed(pid["relay"], relay_port, path)
            entry_p99 = p99(
                send_requests(entry_port, path, PACED_LOOP_S, rate / 2)
            )
            relay_p99 = p99(
                send_requests(relay_port, path, PACED_LOOP_S, rate / 2)
            )
        finally:
            site.stop()
    rows = (
        ("entry.throughput.ratio", entry / relay, 0.6, "higher"),
        ("entry.latency.ratio", entry_p99 / relay_p99, 1.5, "lower"),
        ("entry.requests.per.core", entry, None, "higher"),
        ("entry.p99.ms", entry_p99 * 1000, None, "lower"),
    )
    baseline = (1.0, 1.0, relay, relay_p99 * 1000)
    return [
        {
            "name": name,
            "value": value,
            "unit": "ratio" if bound else name.rsplit(".", 1)[1],
            "bound": bound,
            "better": better,
            "baseline": base,
        }
        for (name, value, bound, better), base in zip(
            rows, baseline, strict=True
        )
    ]
