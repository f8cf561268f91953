Feature: A host that restarts, was frozen or was cut off uses nothing of before
  Zones, keys and runners that were taken out meanwhile must not be used again.

  Background:
    Given a site with service "press" on 8 hosts and queue "fit"
    And tasks that run 0.5 s

  Scenario: A leader that hasn't read the operators' rows starts nothing
    Given zone "east" is taken out
    And a host that reads the operators' rows 6 s after it has started
    When all other hosts are killed
    And job "00000000000000e1" of 40 tasks is stored
    And 5.0 s pass
    Then a host leads
    And no task of job "00000000000000e1" started
    When 6.0 s pass
    Then job "00000000000000e1" is "completed"
    And no task of job "00000000000000e1" ran in zone "east"

  Scenario: A withdrawn key isn't accepted after a host was cut off
    Given host "entry-1" is cut off from the store
    When the key of team "north" is replaced
    Then host "entry-1" accepts the old key for at most 2.0 s
    When host "entry-1" reaches the store again and 3.5 s pass
    Then host "entry-1" refuses the old key with 401

  Scenario: A withdrawn key isn't accepted beside a malformed tenant or route
    When the key of team "north" is replaced, beside malformed entries
    And 1.0 s pass
    Then host "entry-1" refuses the old key with 401
    And host "entry-1" accepts the new key

  Scenario: A configuration that goes back to an older version isn't used
    When the key of team "north" is replaced
    And 1.0 s pass
    And the configuration before that is stored again
    And the store drops its history
    And 2.0 s pass
    Then host "entry-1" refuses the old key with 401

  Scenario: A runner that left isn't used when its entry comes back
    Given a runner without tasks leaves and another gets its address
    When its entry appears in the store again
    And job "00000000000000e2" of 40 tasks is submitted
    And 4.0 s pass
    Then job "00000000000000e2" is "completed"
    And the runner that left got no start

  Scenario: A new leader doesn't use a runner that left before it led
    Given a runner without tasks leaves and another gets its address
    When the leader is killed
    And its entry appears in the store again
    And 5.0 s pass
    And job "00000000000000e3" of 40 tasks is submitted
    And 4.0 s pass
    Then job "00000000000000e3" is "completed"
    And the runner that left got no start
