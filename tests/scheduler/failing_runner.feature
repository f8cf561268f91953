Feature: Runners that fail all that they start

  Background:
    Given a site with service "press" on 8 hosts and queue "fit"
    And hosts stay in their pools

  Scenario: No job fails because of one runner
    Guards against a runner that fails jobs faster than others do them.
    Given tasks that run 1.0 s
    And 1 runner fails all that it starts
    When 40 jobs are submitted over 4.0 s
    And 8.0 s pass
    Then all jobs are "completed"
    And the failing runner got fewer than 20 starts

  Scenario: A task that failed is started on another runner
    Given tasks that run 1.0 s
    And 1 runner fails all that it starts
    When job "00000000000000f1" of 120 tasks is submitted
    And 6.0 s pass
    Then job "00000000000000f1" is "completed"

  Scenario: Jobs that fail everywhere keep no runner from others
    Given tasks of jobs that end in "0" always fail
    When 40 jobs are submitted over 4.0 s
    And 8.0 s pass
    Then all jobs that don't end in "0" are "completed"

  Scenario: Tasks that stand still go on elsewhere
    Guards against jobs that wait for a runner that does nothing.
    Given tasks that run 3.0 s
    When job "00000000000000f2" of 20 tasks is submitted
    And 1.0 s pass
    And a runner with tasks stands still
    And 8.0 s pass
    Then job "00000000000000f2" is "completed"
    And no task ran twice

  Scenario: Slow tasks aren't taken for ones that stand still
    Given tasks that run 20.0 s
    When job "00000000000000f3" of 20 tasks is submitted
    And 22.0 s pass
    Then job "00000000000000f3" is "completed"
    And no task was stopped
