Feature: Hosts move between pools and have their maintenance

  Background:
    Given a site with service "press" on 8 hosts and queue "fit"

  Scenario: Idle hosts leave for the standby pool
    When 12.0 s pass
    Then pool "press" has 2 hosts

  Scenario: Hosts come back when work arrives, and no task is lost
    Given tasks that run 3.0 s
    When 12.0 s pass
    And job "00000000000000d1" of 100 tasks is submitted
    And 4.0 s pass
    Then pool "press" has more than 5 hosts
    When 10.0 s pass
    Then job "00000000000000d1" is "completed"
    And no task ran twice
    And no task was stopped

  Scenario: A wave is carried out in time, with its cap kept
    Given tasks that run 1.0 s
    When a wave of 6 hosts within 20 s with 2 down at once is asked for
    And 20 jobs are submitted over 18.0 s
    Then wave 1 is completed
    And at most 2 hosts were in maintenance at once
    And no task was stopped
    And no task ran twice

  Scenario: A wave keeps the availability of a long-running step
    When a job of 4 long-running tasks with 1 unavailable is submitted
    And 12.0 s pass
    And a wave of all hosts within 24 s with 4 down at once is asked for
    And 30.0 s pass
    Then wave 1 is completed
    And never were 2 of its tasks away by order
    And all long-running tasks run

  Scenario: A new leader goes on with a wave where the old one was killed
    When a wave of 6 hosts within 30 s with 1 down at once is asked for
    And 3.0 s pass
    And the leader is killed
    And 26.0 s pass
    Then wave 1 is completed
    And at most 1 hosts were in maintenance at once
    And no host was ordered with a lower token after a higher one

  Scenario: Standby hosts with the label that a step needs come first
    Given tasks that run 20.0 s
    When 12.0 s pass
    And a job of 4 tasks that needs label "r0-0" is submitted
    And 4.0 s pass
    Then every task of job "00000000000000e2" runs
