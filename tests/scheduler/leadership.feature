Feature: Change of the leader

  Background:
    Given a site with service "press" on 8 hosts and queue "fit"

  Scenario: A planned handover neither stops nor repeats a task
    Given tasks that run 3.0 s
    When job "00000000000000a1" of 40 tasks is submitted
    And 1.0 s pass
    And the leader is told to stop
    And 9.0 s pass
    Then job "00000000000000a1" is "completed"
    And no task ran twice
    And no task was stopped
    And each task of job "00000000000000a1" started once

  Scenario: Tasks survive a killed leader and start no second time
    Given tasks that run 4.0 s
    When job "00000000000000a2" of 40 tasks is submitted
    And 1.0 s pass
    And the leader is killed
    And 12.0 s pass
    Then job "00000000000000a2" is "completed"
    And no task ran twice
    And no task was stopped
    And each task of job "00000000000000a2" started once

  Scenario: Ends that nobody acknowledged count after a take-over
    Given tasks that run 0.3 s
    When job "00000000000000a3" of 40 tasks is submitted
    And 0.2 s pass
    And the leader is killed
    And 12.0 s pass
    Then job "00000000000000a3" is "completed"
    And no task ran twice

  Scenario: A killed leader is replaced within three and a half seconds
    When the leader is killed
    And 3.5 s pass
    Then a host leads

  Scenario: A leader that starts anew orders hosts at once
    Given tasks that run 3.0 s
    When 12.0 s pass
    And the leader is killed and starts anew
    And job "00000000000000a4" of 100 tasks is submitted
    And 2.0 s pass
    Then a host was ordered since

  Scenario: A strong host takes over before a weak one
    Given host "entry-1" has 0.5 processors and a link of 10 Mbit/s
    When the leader other than "entry-1" is killed
    And 6.0 s pass
    Then a host other than "entry-1" leads
