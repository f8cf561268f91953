"""OpenTelemetry instruments."""
