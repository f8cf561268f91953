Feature: Learned run times
  Order, sizes of pools, copies and stalls go by what tasks of the same image,
  or of the same queue, have taken.

  Background:
    Given a site with queue "fit" on 6 hosts that learns run times

  Scenario: Run times of a queue are learned from the tasks that ended
    Given tasks that run 2.0 s
    When 4 jobs of 8 tasks declared at 0.5 s run to their end
    Then tasks declared at 0.5 s are expected to run between 1.6 and 2.3 s
    And a job of such tasks is due 3.1 to 4.3 s after its arrival

  Scenario: Declared run times hold that are about right
    Guards against an order that follows the errors of the latest jobs.
    Given tasks that run 0.55 s
    When 12 jobs of 8 tasks declared at 0.5 s run to their end
    Then tasks declared at 0.5 s are expected to run between 0.5 and 0.5 s

  Scenario: The next leader has them from the rows of ended jobs
    Guards against a takeover that forgets what was learned.
    Given tasks that run 2.0 s
    When 12 jobs of 8 tasks declared at 0.5 s run to their end
    And the leader is killed
    And 4.0 s pass
    Then no task was started by the new leader
    And tasks declared at 0.5 s are expected to run between 1.6 and 2.3 s

  Scenario: Tasks of an image go by their image
    Given tasks that run 2.0 s
    When 4 jobs of 8 tasks declared at 0.5 s run to their end
    Then tasks of image "other" declared at 0.5 s are expected to run 0.5 s

  Scenario: Tasks far from their data don't count
    Given tasks that run 2.0 s
    When 4 jobs of 8 tasks declared at 0.5 s with their data in rack "r9-9" run to their end
    Then tasks declared at 0.5 s are expected to run between 0.5 and 0.5 s
    And the rows of ended jobs hold their status only

  Scenario: Runs that were resumed from a checkpoint don't count
    Given tasks that run 2.0 s
    And a run that began with a checkpoint, or was first seen half done
    Then it counts for no run time

  Scenario: Without the setting the declared run times hold
    Given a site with service "press" on 6 hosts and queue "fit"
    And tasks that run 2.0 s
    When 4 jobs of 8 tasks declared at 0.5 s run to their end
    Then tasks declared at 0.5 s are expected to run between 0.5 and 0.5 s
    And the rows of ended jobs hold their status only

  Scenario: A runner at a sixth of the speed gets few tasks
    Given tasks that run 0.5 s
    And 1 runner works at a sixth of the speed
    When 80 jobs of 8 tasks declared at 0.5 s are submitted over 8.0 s
    Then only that runner is very slow
    When 4.0 s pass
    Then all of these jobs are "completed"
    And the slow runner got under 0.15 of the starts

  Scenario: A runner that is no longer slow gets tasks again
    Given tasks that run 0.5 s
    And 1 runner works at a sixth of the speed
    When 60 jobs of 8 tasks declared at 0.5 s are submitted over 6.0 s
    And the slow runner works at full speed again
    And 14.0 s pass
    And 60 jobs of 8 tasks declared at 0.5 s are submitted over 6.0 s
    Then the slow runner got a task in the last 6.0 s

  Scenario: When all runners are slow none of them is left out
    Given tasks that run 0.5 s
    And all runners work at a sixth of the speed
    When 20 jobs of 8 tasks declared at 0.5 s are submitted over 8.0 s
    And 12.0 s pass
    Then all of these jobs are "completed"
