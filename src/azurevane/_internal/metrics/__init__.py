"""OpenTelemetry instruments and their exporters."""
