Feature: Maintenance waves

  Scenario: A wave maintains every host in nearly the fewest rounds
    Guards against exceeded budgets, hosts that are left out and waves that
    take too long.
    Given a wave over 240 hosts in 4 zones with budgets 12, 2 and 4
    When the wave runs
    Then every host was maintained once
    And it took at most 1.15 times the fewest rounds

  Scenario: Failures after maintenance pause the wave
    Guards against a wave that continues although maintenance breaks hosts.
    Given a wave over 240 hosts in 4 zones with budgets 12, 2 and 4
    When 4 hosts fail soon after their maintenance
    Then the wave is paused and names the failures
    And no host is stopped until it is resumed

  Scenario: Failures unrelated to maintenance don't pause the wave
    Guards against a wave that is paused by any failure.
    Given a wave over 240 hosts in 4 zones with budgets 12, 2 and 4
    When 40 other hosts and 3 maintained ones fail in the same time
    Then the wave isn't paused

  Scenario: Another controller resumes the wave
    Guards against hosts that are maintained twice after a takeover.
    Given a wave over 240 hosts in 4 zones with budgets 12, 2 and 4
    When the wave is half done and is resumed from its row
    Then every host was maintained once
