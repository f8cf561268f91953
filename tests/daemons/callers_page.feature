Feature: The documentation page for callers

  Scenario: Each example prints the output that the page shows
    Guards against documented examples that don't work.
    Given a site with entry hosts "entry-1" and runners "quote-1"
    And its queue "quoting" serves team "mills" with key "mills-key"
    Then the examples in "docs/callers.md" print what the page shows

  Scenario: Each problem type in the code is documented
    Guards against a problem type that callers can't look up.
    Then every problem type of the code is listed in "docs/callers.md"
