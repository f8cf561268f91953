Feature: Controller leases

  Background:
    Given control daemons "c1,c2,c3" and pools "quoting,rings" with seed 7

  Scenario: A killed holder is replaced in time
    Guards against urgent work that waits for a dead controller.
    When 5 seconds pass
    And the holder is killed
    Then another daemon holds every pool within 4.3 seconds

  Scenario: A paused holder doesn't act when it resumes
    Guards against a holder that relies on a stale answer after a pause.
    When 5 seconds pass
    And the holder is paused for 30 seconds
    Then the old holder may not act on any pool when it resumes
    And every pool has one holder and a higher epoch

  Scenario: The store is down for an hour
    Guards against a controller that stops while no other daemon can take
    over its leases.
    When 5 seconds pass
    And the store is down for 3600 seconds
    Then the holder may act for all but 1 second of the outage
    And the same daemon holds every pool 10 seconds after the store is back

  Scenario: The answers to writes are lost
    Guards against a lease that is given up, or held by two daemons, after
    a lost answer.
    When every write answer is lost for 20 seconds
    And 10 seconds pass
    Then every pool has one holder and a higher epoch

  Scenario Outline: Randomised faults
    Guards against two holders under one epoch, and against two holders at
    the same time while both reach the store.
    When random kills, pauses, outages and lost answers run for 600 seconds with seed <seed>
    Then no lease had two holders
    And every pool has one holder and a higher epoch

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 1033 |
