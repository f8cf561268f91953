import http.server
import threading

from behave import given
from behave import then
from behave import when
from opentelemetry.proto.collector.metrics.v1 import metrics_service_pb2

from support import manifests
from support import processes


def start_collector(context):
    """Start an OTLP collector that records the names of received metrics."""
    context.received_names = set()

    class Collector(http.server.BaseHTTPRequestHandler):
        def do_POST(self):
            data = self.rfile.read(int(self.headers["Content-Length"]))
            request = metrics_service_pb2.ExportMetricsServiceRequest()
            request.ParseFromString(data)
            for resource in request.resource_metrics:
                for scope in resource.scope_metrics:
                    context.received_names.update(
                        m.name for m in scope.metrics
                    )
            self.send_response(200)
            self.end_headers()

        def log_message(self, *_):
            pass

    context.collector = http.server.ThreadingHTTPServer(
        ("127.0.0.1", 0), Collector
    )
    threading.Thread(
        target=context.collector.serve_forever, daemon=True
    ).start()
    return context.collector.server_address[1]


@given("an entry host with metrics for Prometheus and OTLP")
def start_entry(context):
    context.site = processes.SiteProcesses(context.scratch.name)
    context.site.start_platform()
    context.site.start_runners(["quote-1"])
    context.site.assign_entry_ports({"entry-1": "az-a"})
    (context.metrics_port,) = processes.free_ports(1)
    collector_port = start_collector(context)
    context.site.start_entry(
        "entry-1",
        metrics={
            "port": context.metrics_port,
            "otlp_url": f"http://127.0.0.1:{collector_port}/v1/metrics",
            "otlp_interval": 0.5,
        },
    )


@when("a manifest is applied and a caller sends an unknown API key")
def apply_manifest_and_send_unknown_key(context):
    manifest = manifests.small_manifest(context.site, "quoting", "mills")
    status, body = context.site.make_change("entry-1", "manifest", manifest)
    assert status == 200, body

    def is_refused():
        response = context.site.call_entry(
            "entry-1",
            "GET",
            "/q/quoting/x",
            headers={"Authorization": "Bearer wrong"},
        )
        return response[0] == 401

    processes.wait_until(is_refused)


@then('"{path}" counts "{name}" with problem "{problem}"')
def check_prometheus_counter(context, path, name, problem):
    _, _, body = processes.http_call(
        "GET", f"http://127.0.0.1:{context.metrics_port}{path}"
    )
    lines = [
        line
        for line in body.decode().splitlines()
        if line.startswith(name) and f'problem="{problem}"' in line
    ]
    assert lines and float(lines[0].rsplit(" ", 1)[1]) >= 1, body.decode()


@then('the collector receives "{name}" by OTLP')
def check_metric_received(context, name):
    processes.wait_until(lambda: name in context.received_names)
