Feature: The callers' page

  Scenario: Each example gives the output that the page shows
    Guards against a page whose examples don't run.
    Given a site with entry hosts "entry-1" and runners "quote-1"
    And its queue "quoting" serves team "mills" with key "mills-key"
    Then the examples in "docs/callers.md" give what the page shows

  Scenario: Each problem type in the code is on the page
    Guards against a problem type that callers can't look up.
    Then every problem type of the code is listed in "docs/callers.md"
