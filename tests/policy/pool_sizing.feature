Feature: Sizes of pools

  Scenario: A pool without other work keeps hosts for long-running tasks
    Given a pool "press" with 8 ready hosts of 32000 millicores
    And its long-running tasks use 12000 millicores and need 3 hosts
    Then it wants 3 hosts

  Scenario: A pool without any work keeps two hosts
    Given a pool "press" with 8 ready hosts of 32000 millicores
    Then it wants 2 hosts

  Scenario: A pool grows for arriving work before any of it waits
    Given a pool "press" with 2 ready hosts of 32000 millicores
    And 200000 millicores of work arrive
    Then it wants 7 hosts

  Scenario: Idle hosts of other pools come before standby hosts
    Given a pool "press" with 2 ready hosts of 32000 millicores
    And 90000 millicores are busy and 40000 millicores of work wait
    And a pool "rings" with 6 ready hosts of 32000 millicores
    And idle host "r1" of "rings" for 9.0 s
    And standby hosts "s1"
    Then the moves are "r1>press, s1>press"

  Scenario: Idle hosts of a pool without a surplus stay
    Given a pool "press" with 2 ready hosts of 32000 millicores
    And idle host "p1" of "press" for 9.0 s
    Then the moves are ""

  Scenario: A host leaves only after it was idle for the minimum time
    Given a pool "press" with 4 ready hosts of 32000 millicores
    And idle host "p1" of "press" for 1.0 s
    And idle host "p2" of "press" for 4.0 s
    Then the moves are "p2>standby"

  Scenario: Idle hosts that are due for maintenance leave first
    Given a pool "press" with 3 ready hosts of 32000 millicores
    And idle host "p1" of "press" for 8.0 s
    And idle host "p2" of "press" for 4.0 s, due for maintenance
    Then the moves are "p2>standby"

  Scenario: Incoming hosts count, so that a burst doesn't take all hosts
    Given a pool "press" with 2 ready hosts of 32000 millicores
    And 90000 millicores are busy and 40000 millicores of work wait
    And 3 hosts are incoming
    And standby hosts "s1, s2, s3"
    Then the moves are ""

  Scenario: A pool that lacks hosts gets them from a pool with a surplus
    Given a pool "press" with 2 ready hosts of 32000 millicores
    And 60000 millicores are busy and 500000 millicores of work wait
    And a pool "rings" with 18 ready hosts of 32000 millicores
    And 570000 millicores are busy and 600000 millicores of work wait
    And busy host "r1" of "rings" with 9 tasks
    And busy host "r2" of "rings" with 2 tasks
    And busy host "p1" of "press" with 1 tasks
    Then the hosts to drain are "r1, r2"
    And the moves are ""

  Scenario: Busy hosts aren't drained while no pool lacks hosts
    Given a pool "press" with 2 ready hosts of 32000 millicores
    And a pool "rings" with 18 ready hosts of 32000 millicores
    And 570000 millicores are busy and 600000 millicores of work wait
    And busy host "r2" of "rings" with 2 tasks
    Then the hosts to drain are ""
