Feature: A call that is repeated when it is overdue

  Background:
    Given a call that is overdue after 0.2 s and ends after 1.0 s

  Scenario: The response of an earlier attempt counts after a repetition
    When 0.3 s pass
    And attempt 1 responds with "stored"
    Then the call was sent 2 times and returns "stored"

  Scenario: A rejected repetition doesn't show that the call has not run
    Guards against a refusal that says "not run" although an earlier attempt
    may have run.
    When 0.3 s pass
    And attempt 2 is rejected as not run
    Then the call goes on
    When attempt 1 ends without a response
    Then the call fails and may have run

  Scenario: A first attempt that is rejected has not run
    When attempt 1 is rejected as not run
    Then the call fails and has not run

  Scenario: No attempt begins after the deadline
    When 1.5 s pass
    Then the call was sent 5 times
