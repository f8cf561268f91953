Feature: Hosts that are fetched before a busy period

  Background:
    Given a site that foresees busy periods, with 30 hosts on standby
    And queues that were busy in turn for 4.0 s, three times

  Scenario: Hosts come before the first job
    When 1.4 s pass
    Then pool "rings" has more than 4 hosts
    When queue "ring" is busy for 4.0 s
    Then 0.9 of its jobs end in time

  Scenario: The leader is lost while hosts are on their way
    When 0.4 s pass
    And the leader is killed
    And 1.1 s pass
    Then pool "rings" has more than 4 hosts
    When queue "ring" is busy for 4.0 s
    Then 0.9 of its jobs end in time
    And no host got a command with a lower token after a higher one
    And no host was ordered to move twice within 1.5 s

  Scenario: The platform refuses moves, and the busy period doesn't come
    Guards against hosts that are kept or fetched for it later on, and against
    a forecast that keeps the other pools from their hosts.
    When the platform refuses moves for 6.0 s
    And queue "fit" is busy for 4.0 s
    Then 0.9 of its jobs end in time
    When 6.0 s pass
    Then pool "rings" has 2 hosts
    And pool "press" has 2 hosts
