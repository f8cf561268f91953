"""Expose the metrics for Prometheus, or send them by OTLP."""

from typing import Any

from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk.metrics import export
from twisted.web import resource
from twisted.web import server

from azurevane._internal.events import catalogue
from azurevane._internal.metrics import instruments
from azurevane._internal.settings import loader


def start_metrics(
    reactor: Any, settings: loader.Settings, port_option: str
) -> None:
    """Feed the instruments from events, for the readers that are set.

    Args:
        port_option: setting of this program's port for Prometheus; the
            programs of a host share one settings file.
    """
    readers: list[Any] = []
    port = settings.integer("metrics", port_option)
    if port:
        readers.append(
            _listen(reactor, settings.text("host", "address"), port)
        )
    url = settings.text("metrics", "otlp_url")
    if url:
        interval_s = settings.number("metrics", "otlp_interval")
        readers.append(_export(reactor, url, interval_s))
    if not readers:
        return
    provider = sdk_metrics.MeterProvider(readers)
    meter = instruments.EventMeter(provider)
    catalogue.listeners.append(meter.record)
    reactor.addSystemEventTrigger("after", "shutdown", provider.shutdown)


def start_site_metrics(reactor: Any, address: str, port: int) -> None:
    """Serve the instruments of an entry host for Prometheus."""
    from azurevane._internal.metrics import site_instruments

    del site_instruments  # Imported for the instruments it registers.
    provider = sdk_metrics.MeterProvider([_listen(reactor, address, port)])
    meter = instruments.EventMeter(provider)
    catalogue.listeners.append(meter.record)


def _listen(reactor: Any, address: str, port: int) -> Any:
    from opentelemetry.exporter import prometheus
    from prometheus_client import twisted as prometheus_twisted

    root = resource.Resource()
    root.putChild(b"metrics", prometheus_twisted.MetricsResource())
    reactor.listenTCP(port, server.Site(root), interface=address)
    return prometheus.PrometheusMetricReader()


def _export(reactor: Any, url: str, interval_s: float) -> Any:
    # The exporter sends from a thread of its own, so that a slow collector
    # doesn't hold up the event loop.
    from opentelemetry.exporter.otlp.proto.http import metric_exporter

    return export.PeriodicExportingMetricReader(
        metric_exporter.OTLPMetricExporter(endpoint=url),
        export_interval_millis=interval_s * 1000,
    )
