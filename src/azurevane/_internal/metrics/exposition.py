"""Exposes metrics to Prometheus and exports them by OTLP."""

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
    """Start the metrics exporters that the settings enable, if any.

    Args:
        port_option: name of the setting with the Prometheus port of this
            program; the programs of a host share one settings file.
    """
    readers: list[Any] = []
    port = settings.integer("metrics", port_option)
    if port:
        readers.append(
            _serve_prometheus(reactor, settings.text("host", "address"), port)
        )
    url = settings.text("metrics", "otlp_url")
    if url:
        interval_s = settings.number("metrics", "otlp_interval")
        readers.append(_create_otlp_reader(reactor, url, interval_s))
    if not readers:
        return
    provider = sdk_metrics.MeterProvider(readers)
    meter = instruments.EventMeter(provider)
    catalogue.listeners.append(meter.record)
    reactor.addSystemEventTrigger("after", "shutdown", provider.shutdown)


def start_site_metrics(reactor: Any, address: str, port: int) -> None:
    """Expose the metrics of ``azurevane-host`` to Prometheus."""
    from azurevane._internal.metrics import site_instruments

    del site_instruments  # Imported because it registers instruments.
    provider = sdk_metrics.MeterProvider(
        [_serve_prometheus(reactor, address, port)]
    )
    meter = instruments.EventMeter(provider)
    catalogue.listeners.append(meter.record)


def _serve_prometheus(reactor: Any, address: str, port: int) -> Any:
    from opentelemetry.exporter import prometheus
    from prometheus_client import twisted as prometheus_twisted

    root = resource.Resource()
    root.putChild(b"metrics", prometheus_twisted.MetricsResource())
    reactor.listenTCP(port, server.Site(root), interface=address)
    return prometheus.PrometheusMetricReader()


def _create_otlp_reader(reactor: Any, url: str, interval_s: float) -> Any:
    # The exporter runs in its own thread, so that a slow collector doesn't
    # block the event loop.
    from opentelemetry.exporter.otlp.proto.http import metric_exporter

    return export.PeriodicExportingMetricReader(
        metric_exporter.OTLPMetricExporter(endpoint=url),
        export_interval_millis=interval_s * 1000,
    )
