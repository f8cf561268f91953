Feature: Preemption in the leader
  A task of a queue of priority 0 without room has runs of other queues
  stopped. What they hold is free only once their stops are confirmed.

  Background:
    Given a site with preemption whose pool of 2 hosts is full of 8 tasks of priority 1

  Scenario: A long-running task gets room
    When a long-running task of priority 0 is submitted
    Then it runs within 4 s, after one run was stopped for it
    And the stopped task starts again and no task ran twice

  Scenario: A short job that would be late gets room
    When a task of 1 s of priority 0 is submitted
    Then it runs within 1.5 s, after one run was stopped for it
    And the stopped task starts again and no task ran twice

  Scenario: Tasks of the same priority aren't stopped
    When a long-running task of priority 1 is submitted
    Then it doesn't run within 5 s

  Scenario: The leader is lost between the stop and the start
    When a long-running task of priority 0 is submitted
    And the leader is killed as soon as a runner has stopped a run for it
    Then it runs within 5 s, after one run was stopped for it
    And the stopped task starts again and no task ran twice

  Scenario: The leader is lost before the stop is sent
    When a long-running task of priority 0 is submitted
    And the leader is killed as soon as it has decided to stop a run for it
    Then it runs within 6 s, after one run was stopped for it
    And the stopped task starts again and no task ran twice

  Scenario: A stop without an answer frees nothing
    When a long-running task of priority 0 is submitted
    And the runner is unreachable as soon as a run was stopped for it
    Then nothing starts on that runner while it is unreachable
    And no task ran twice

  Scenario: Without the flag no run is stopped
    Given preemption is off
    When a long-running task of priority 0 is submitted
    Then it doesn't run within 5 s
