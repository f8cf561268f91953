Feature: Availability budgets

  Scenario: A planned stop that would break a budget waits
    Guards against maintenance that takes more than may be away.
    Given 8 hosts in 2 zones and a budget of 2 per pool, 1 per rack, 1 per zone
    When host "w0" is stopped
    Then a stop of host "w2" waits for "zone"
    And a stop of host "w5" is allowed

  Scenario: An unplanned loss counts
    Guards against a planned stop on top of a loss.
    Given 8 hosts in 2 zones and a budget of 1 per pool, 1 per rack, 1 per zone
    When host "w0" is lost
    Then a stop of host "w1" waits for "pool"
    When host "w0" is back
    Then a stop of host "w5" is allowed

  Scenario: An operator forces a stop
    Guards against a forced stop that isn't shown as one.
    Given 8 hosts in 2 zones and a budget of 1 per pool, 1 per rack, 1 per zone
    When host "w0" is stopped
    Then a forced stop of host "w1" is allowed and names "pool"

  Scenario: Random stops and losses
    Guards against any planned stop that exceeds a budget.
    Given 40 hosts in 4 zones and a budget of 6 per pool, 2 per rack, 3 per zone
    When 2000 random stops, losses and returns happen with seed 5
    Then no planned stop broke a budget
