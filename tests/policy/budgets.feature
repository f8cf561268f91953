Feature: Availability budgets

  Scenario: A planned stop that would exceed a budget is refused
    Guards against maintenance that makes too many hosts unavailable.
    Given 8 hosts in 2 zones and a budget of 2 per pool, 1 per rack, 1 per zone
    When host "w0" is stopped
    Then a stop of host "w2" is blocked by "zone"
    And a stop of host "w5" is allowed

  Scenario: An unplanned loss counts against the budget
    Guards against a planned stop that ignores a lost host.
    Given 8 hosts in 2 zones and a budget of 1 per pool, 1 per rack, 1 per zone
    When host "w0" is lost
    Then a stop of host "w1" is blocked by "pool"
    When host "w0" is available again
    Then a stop of host "w5" is allowed

  Scenario: A forced stop names the budget that it exceeds
    Guards against a forced stop that isn't reported as forced.
    Given 8 hosts in 2 zones and a budget of 1 per pool, 1 per rack, 1 per zone
    When host "w0" is stopped
    Then a forced stop of host "w1" is allowed and names "pool"

  Scenario: Random stops, losses and returns keep to the budget
    Guards against a planned stop that exceeds a budget.
    Given 40 hosts in 4 zones and a budget of 6 per pool, 2 per rack, 3 per zone
    When 2000 random stops, losses and returns happen with seed 5
    Then no planned stop exceeded a budget
