Feature: Copies of tasks that the job marks as speculative
  One end of two runs counts, whichever comes first and whoever leads then.

  Background:
    Given a site with queue "fit" on 6 hosts that starts copies of slow tasks

  Scenario: The copy ends first
    Given tasks that run 1.0 s, but the first run of task 0 runs 7.0 s
    When a speculative job of 8 tasks is submitted
    And 3.0 s pass
    Then the job is "completed"
    And task 0 started 2 times, on different runners
    And each other task started once
    And none of its tasks run
    And every end was acknowledged

  Scenario: The original ends first
    Given tasks that run 1.0 s, but the first run of task 0 runs 7.0 s
    And the second run of task 0 runs 20.0 s
    When a speculative job of 8 tasks is submitted
    And 8.5 s pass
    Then the job is "completed"
    And task 0 started 2 times, on different runners
    And none of its tasks run
    And every end was acknowledged

  Scenario: Both runs end at the same moment
    Given tasks that run 1.0 s, but the first run of task 0 runs 7.0 s
    And the second run of task 0 ends when the first does
    When a speculative job of 8 tasks is submitted
    And 8.5 s pass
    Then the job is "completed"
    And task 0 started 2 times, on different runners
    And every end was acknowledged

  Scenario: A task that isn't marked gets no copy
    Given tasks that run 1.0 s, but the first run of task 0 runs 7.0 s
    When a job of 8 tasks that isn't speculative is submitted
    And 9.0 s pass
    Then the job is "completed"
    And no task started more than 1 times

  Scenario: The leader is killed while both runs go on
    Given tasks that run 1.0 s, but the first run of task 0 runs 7.0 s
    And the second run of task 0 runs 5.0 s
    When a speculative job of 8 tasks is submitted
    And 2.5 s pass
    Then task 0 started 2 times, on different runners
    When the leader is killed
    And 5.0 s pass
    Then the job is "completed"
    And task 0 started 2 times, on different runners
    And none of its tasks run
    And every end was acknowledged

  Scenario: The leader is killed before the copy's end is acknowledged
    Given tasks that run 1.0 s, but the first run of task 0 runs 20.0 s
    When a speculative job of 8 tasks is submitted
    And the second run of task 0 ends
    And the leader is killed
    And 4.0 s pass
    Then the job is "completed"
    And task 0 started 2 times, on different runners
    And none of its tasks run
    And every end was acknowledged

  Scenario: The copy's start isn't answered
    Given tasks that run 1.0 s, but the first run of task 0 runs 7.0 s
    When a speculative job of 8 tasks is submitted
    And 0.5 s pass
    And the answer to the next command to each runner is lost
    And 3.5 s pass
    Then the job is "completed"
    And task 0 started 2 times, on different runners
    And none of its tasks run

  Scenario: The runner of the original is lost
    Given tasks that run 1.0 s, but the first run of task 0 runs 30.0 s
    And the second run of task 0 runs 10.0 s
    When a speculative job of 8 tasks is submitted
    And 3.0 s pass
    And the runner of the first run of task 0 crashes
    And 9.5 s pass
    Then the job is "completed"
    And task 0 started 2 times, on different runners

  Scenario: The runner of the copy is lost
    Given tasks that run 1.0 s, but the first run of task 0 runs 10.0 s
    And the second run of task 0 runs 30.0 s
    When a speculative job of 8 tasks is submitted
    And 3.0 s pass
    And the runner of the second run of task 0 crashes
    And 9.0 s pass
    Then the job is "completed"
    And no task started more than 3 times

  Scenario: The job is cancelled while both runs go on
    Given tasks that run 1.0 s, but the first run of task 0 runs 30.0 s
    And the second run of task 0 runs 30.0 s
    When a speculative job of 8 tasks is submitted
    And 3.0 s pass
    Then 2 runs of task 0 go on
    When the job is cancelled
    And 1.0 s pass
    Then none of its tasks run
    And the job is "cancelled"

  Scenario: A failed run doesn't fail the task while the other one goes on
    Given tasks that run 1.0 s, but the first run of task 0 runs 7.0 s
    And the first run of task 0 fails after 3.0 s
    And the second run of task 0 runs 4.0 s
    And tasks may fail 1 time
    When a speculative job of 8 tasks is submitted
    And 3.5 s pass
    Then the job is "running"
    When 3.0 s pass
    Then the job is "completed"
    And task 0 started 2 times, on different runners

  Scenario: A task of which both runs fail has failed
    Given tasks that run 1.0 s, but the first run of task 0 runs 7.0 s
    And the first run of task 0 fails after 3.0 s
    And the second run of task 0 fails after 2.5 s
    And tasks may fail 2 times
    When a speculative job of 8 tasks is submitted
    And 6.0 s pass
    Then the job is "failed"
    And task 0 started 2 times, on different runners

  Scenario: A task that may not start again fails with its last run
    Guards against a start beyond the attempts after the other run was lost.
    Given tasks that run 1.0 s, but the first run of task 0 runs 7.0 s
    And the first run of task 0 fails after 3.0 s
    And the second run of task 0 runs 30.0 s
    And tasks may fail 1 time
    When a speculative job of 8 tasks is submitted
    And 4.0 s pass
    And the runner of the second run of task 0 crashes
    And 12.0 s pass
    Then the job is "failed"
    And no task started more than 2 times

  Scenario: Copies count against the team's limit
    Given tasks that run 1.0 s, but the first run of task 0 runs 7.0 s
    And team "north" has an upper limit of 1000 millicores
    When a speculative job of 1 tasks is submitted
    And 8.0 s pass
    Then the job is "completed"
    And no task started more than 1 times

  Scenario: No copy starts while tasks wait for capacity
    Given tasks that run 1.0 s, but the first run of task 0 runs 7.0 s
    And tasks of other jobs run 30.0 s
    When a speculative job of 8 tasks is submitted
    And 7 tasks of 20000 millicores are submitted besides
    And 5.0 s pass
    Then no task started more than 1 times

  Scenario: Waiting tasks of a team at its limit hold up no copies
    Given tasks that run 1.0 s, but the first run of task 0 runs 7.0 s
    And tasks of other jobs run 30.0 s
    And team "north" has an upper limit of 139000 millicores
    When a speculative job of 8 tasks is submitted
    And 7 tasks of 20000 millicores are submitted besides
    And 3.5 s pass
    Then the job is "completed"
    And task 0 started 2 times, on different runners

  Scenario: A superseded run counts against the team's limit until it ends
    Given tasks that run 1.0 s, but the first run of task 0 runs 7.0 s
    And team "north" has an upper limit of 9000 millicores
    When a speculative job of 8 tasks is submitted
    And the second run of task 0 ends
    And the leader knows of it
    Then 1 runs of task 0 go on
    And team "north" has 8000 millicores left
    When 0.5 s pass
    Then team "north" has 9000 millicores left

  Scenario: The runner of the original drains and leaves
    Given tasks that run 1.0 s, but the first run of task 0 runs 30.0 s
    And the second run of task 0 runs 2.2 s
    When a speculative job of 8 tasks is submitted
    And 2.0 s pass
    And the runner of the first run of task 0 starts to drain
    And 6.0 s pass
    Then the job is "completed"
    And task 0 started 2 times, on different runners

  Scenario: The original stalls while its copy goes on
    Given tasks that run 1.0 s, but the first run of task 0 runs 30.0 s
    And the second run of task 0 runs 4.3 s
    When a speculative job of 8 tasks is submitted
    And 2.0 s pass
    And the runner of the first run of task 0 stalls
    And 3.1 s pass
    Then 1 runs of task 0 go on
    When 3.0 s pass
    Then the job is "completed"
    And task 0 started 2 times, on different runners
    And every end was acknowledged

  Scenario: Rows of tasks without copies keep their format
    Given the stored state of a task as earlier versions wrote it
    Then it is read as a run with attempt 3 and no copy
    And the same task is stored in the same format

  Scenario: A stored copy is read with its attempt and its runner
    Given the stored state of a task with a copy
    Then it is read as a run with attempt 3 and a copy with attempt 5

  Scenario: A task that had a copy gets a higher attempt when it starts again
    Given tasks that run 1.0 s, but the first run of task 0 runs 30.0 s
    And the second run of task 0 runs 30.0 s
    When a speculative job of 8 tasks is submitted
    And 3.0 s pass
    And the runners of both runs of task 0 crash
    And the leader is killed
    And 14.0 s pass
    Then the job is "completed"
    And each start of task 0 had a higher attempt than those before

  Scenario: Tasks that are long on every runner are soon copied no more
    Given tasks that run 1.0 s, but task 0 of each job runs 4.0 s
    When 20 speculative jobs of 8 tasks are submitted over 8.0 s
    And 5.0 s pass
    Then at most 10 copies were started
    And each of these jobs is "completed"

  Scenario: Tasks on a slow runner are copied all the same
    Given a site with queue "fit" on 6 hosts that starts copies and learns run times
    And tasks that run 1.0 s, but task 0 of each job runs 4.0 s
    When 20 speculative jobs of 8 tasks are submitted over 8.0 s
    And a runner works at a sixth of the speed from now on
    And 20 speculative jobs of 8 tasks are submitted over 8.0 s
    Then at least 4 copies of tasks on that runner ended first
