Feature: Runners on which every task fails or stalls

  Background:
    Given a site with service "press" on 8 hosts and queue "fit"
    And hosts stay in their pools

  Scenario: No job fails because of one runner
    Guards against a runner that fails jobs faster than others complete them.
    Given tasks that run 1.0 s
    And 1 runner fails every task that it starts
    When 40 jobs are submitted over 4.0 s
    And 8.0 s pass
    Then all jobs are "completed"
    And the failing runner got fewer than 20 starts

  Scenario: A failed task is restarted on another runner
    Given tasks that run 1.0 s
    And 1 runner fails every task that it starts
    When job "00000000000000f1" of 120 tasks is submitted
    And 6.0 s pass
    Then job "00000000000000f1" is "completed"

  Scenario: Jobs that fail on every runner block no runner for other jobs
    Given tasks of jobs that end in "0" always fail
    When 40 jobs are submitted over 4.0 s
    And 8.0 s pass
    Then all jobs that don't end in "0" are "completed"

  Scenario: Stalled tasks continue on another runner
    Guards against jobs that wait for tasks which make no progress.
    Given tasks that run 3.0 s
    When job "00000000000000f2" of 20 tasks is submitted
    And 1.0 s pass
    And all tasks of a runner stall
    And 8.0 s pass
    Then job "00000000000000f2" is "completed"
    And no task ran twice

  Scenario: Slow tasks are not treated as stalled
    Given tasks that run 20.0 s
    When job "00000000000000f3" of 20 tasks is submitted
    And 22.0 s pass
    Then job "00000000000000f3" is "completed"
    And no task was stopped

  Scenario: A failed task restarts although all other runners stay full
    Guards against a task that waits for a runner which never becomes free.
    Given a site with service "press" on 2 hosts and queue "fit"
    And hosts stay in their pools
    And tasks that run 60.0 s
    When job "00000000000000f4" of 16 tasks is submitted
    And 1.0 s pass
    Given the first attempt of each task fails after 0.5 s
    When job "00000000000000f5" of 2 tasks is submitted
    And 5.0 s pass
    Then job "00000000000000f5" is "completed"
