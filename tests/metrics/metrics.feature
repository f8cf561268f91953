Feature: Metrics of a running entry host

  Scenario: Metrics are exposed to Prometheus and exported by OTLP
    Guards against instruments that no event updates.
    Given an entry host with metrics for Prometheus and OTLP
    When a manifest is applied and a caller sends an unknown API key
    Then "/metrics" counts "azurevane_requests_refused" with problem "unauthorized"
    And the collector receives "azurevane.configuration.changes" by OTLP
