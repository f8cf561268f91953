Feature: Tasks that crash every runner that starts them

  Background:
    Given a site with service "press" on 8 hosts and queue "fit"
    And hosts stay in their pools

  Scenario: A task that crashes every runner is given up
    Guards against one task that takes down runner after runner.
    Given tasks that run 0.8 s
    And task 0 of job "00000000000000c1" crashes its runner after 0.01 s
    When job "00000000000000c1" of 6 tasks is submitted
    And 20 jobs are submitted over 4.0 s
    And 20.0 s pass
    Then job "00000000000000c1" is "failed"
    And at most 5 runners crashed under task 0 of job "00000000000000c1"

  Scenario: A new leader gives up a crashed runner that it never saw on a host
    Guards against lost tasks that wait for the runner's return or its lease.
    Given tasks that run 20.0 s
    When job "00000000000000c2" of 20 tasks is submitted
    And 2.0 s pass
    And a busy runner crashes for 10.0 s
    And the leader is killed
    And 3.0 s pass
    Then every task of job "00000000000000c2" runs
    And no task ran twice
