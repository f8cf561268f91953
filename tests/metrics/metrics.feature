Feature: Metrics of a running entry host

  Scenario: Prometheus can scrape what was routed and refused
    Guards against instruments that no event feeds.
    Given an entry host with metrics for Prometheus and OTLP
    When a manifest is applied and a caller shows a wrong key
    Then "/metrics" shows "azurevane_requests_refused" for problem "unauthorized"
    And the collector gets "azurevane.configuration.changes" by OTLP
