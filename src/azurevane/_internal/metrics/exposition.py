"""Expose the metrics for Prometheus to scrape."""

from typing import Any

from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from prometheus_client import twisted as prometheus_twisted
from twisted.web import resource
from twisted.web import server

from azurevane._internal.events import catalogue
from azurevane._internal.metrics import instruments


def listen_metrics(reactor: Any, address: str, port: int) -> None:
    """Feed the instruments and serve ``/metrics``."""
    provider = sdk_metrics.MeterProvider([prometheus.PrometheusMetricReader()])
    meter = instruments.EventMeter(provider)
    catalogue.listeners.append(meter.record)
    root = resource.Resource()
    root.putChild(b"metrics", prometheus_twisted.MetricsResource())
    reactor.listenTCP(port, server.Site(root), interface=address)
