Feature: Maintenance waves

  Scenario: A wave reaches every host in the shortest time
    Guards against budgets broken, hosts left out and slow waves.
    Given a wave over 240 hosts in 4 zones with budgets 12, 2 and 4
    When the wave runs
    Then every host was maintained once
    And it took at most 1.15 times the fewest rounds

  Scenario: Failures follow the maintenance
    Guards against a wave that goes on breaking hosts.
    Given a wave over 240 hosts in 4 zones with budgets 12, 2 and 4
    When 4 hosts fail soon after their maintenance
    Then the wave is paused and names the failures
    And no host is taken until it is resumed

  Scenario: Failures have nothing to do with the wave
    Guards against a wave that any failure stops.
    Given a wave over 240 hosts in 4 zones with budgets 12, 2 and 4
    When 40 other hosts and 3 maintained ones fail in the same time
    Then the wave goes on

  Scenario: Another controller resumes the wave
    Guards against hosts maintained twice after a takeover.
    Given a wave over 240 hosts in 4 zones with budgets 12, 2 and 4
    When the wave is half done and goes on from its row
    Then every host was maintained once
