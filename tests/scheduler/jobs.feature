Feature: Jobs run by the rules of their steps

  Background:
    Given a site with service "press" on 8 hosts and queue "fit"
    And tasks that run 0.5 s

  Scenario: A step waits until all tasks of the steps before it are done
    When a job is submitted with phases
      | count | after | cpu  |
      | 4     |       | 1000 |
      | 3     | 0     | 1000 |
    And 4.0 s pass
    Then the job is "completed"
    And no task of step 1 started before all of step 0 were done

  Scenario: The same submission at another host stays one job
    When a job is submitted with phases
      | count | cpu  |
      | 4     | 1000 |
    And it is submitted again at every host
    And 3.0 s pass
    Then the job is "completed"
    And 4 starts were made

  Scenario: A failing task ends its job after the queue's attempts
    Given tasks that run 0.2 s and fail
    When a job is submitted with phases
      | count | cpu  |
      | 2     | 1000 |
    And 4.0 s pass
    Then the job is "failed"
    And no task started more than 2 times

  Scenario: A long-running task is started again however it ends
    Given tasks that run 0.5 s and fail
    When a job is submitted with phases
      | count | cpu  | longRunning |
      | 2     | 1000 | true        |
    And 5.0 s pass
    Then the job is "running"
    And each task started at least 4 times

  Scenario: A cancelled job's tasks stop and none starts again
    Given tasks that run 20.0 s
    When a job is submitted with phases
      | count | cpu  |
      | 6     | 1000 |
    And 1.0 s pass
    And the job is cancelled
    And 1.5 s pass
    Then the job is "cancelled"
    And nothing of it runs

  Scenario: At most so many tasks of a step run on a runner
    Given tasks that run 20.0 s
    When a job is submitted with phases
      | count | cpu  | antiAffinity |
      | 6     | 1000 | 2            |
    And 5.0 s pass
    Then 6 of its tasks run
    And no runner has more than 2 of them

  Scenario: A runner needs the label that a step asks for
    Given tasks that run 20.0 s
    When a job is submitted with phases
      | count | cpu  | requirements |
      | 4     | 1000 | r0-0         |
    And 5.0 s pass
    Then 4 of its tasks run
    And all of them run in rack "r0-0"

  Scenario: Tasks run near their data while there is room
    Given tasks that run 20.0 s
    When a job is submitted with phases
      | count | cpu  | affinity |
      | 4     | 1000 | r1-0     |
    And 2.0 s pass
    Then 4 of its tasks run
    And all of them run in rack "r1-0"

  Scenario: A gang's tasks start together with one attempt's number
    Given tasks that run 20.0 s
    When a job is submitted with phases
      | count | cpu  | gang |
      | 6     | 4000 | true |
    And 3.0 s pass
    Then 6 of its tasks run
    And they started within 0.5 s of each other

  Scenario: A gang that doesn't fit starts none of its tasks
    Given hosts stay in their pools
    And tasks that run 20.0 s
    When a job is submitted with phases
      | count | cpu   | gang |
      | 9     | 30000 | true |
    And 3.0 s pass
    Then 0 of its tasks run

  Scenario: Occurrences start at their times
    When a job of 3 occurrences each 2.0 s from 1.0 s on is submitted
    And 12.0 s pass
    Then the job is "completed"
    And its occurrences started at 1.0 s, 3.0 s and 5.0 s

  Scenario: A team never runs more than its cap
    Given team "north" may run 8000
    When a job is submitted with phases
      | count | cpu  |
      | 30    | 2000 |
    And 8.0 s pass
    Then the job is "completed"
    And never more than 4 tasks ran at once

  Scenario: Nothing starts in a zone that was taken out
    When zone "west" is taken out
    And 1.0 s pass
    And a job is submitted with phases
      | count | cpu  |
      | 40    | 2000 |
    And 10.0 s pass
    Then the job is "completed"
    And nothing started in zone "west"

  Scenario: Nothing starts on a draining runner, and its tasks move on
    Given hosts stay in their pools
    And tasks that run 6.0 s
    When a job is submitted with phases
      | count | cpu  | checkpointing |
      | 20    | 2000 | true          |
    And 1.0 s pass
    And a runner with tasks drains and leaves after 3.0 s
    And 20.0 s pass
    Then the job is "completed"
    And nothing started on it after it drained
    And no task ran twice

  Scenario: A malformed submission is refused with its reason
    When a job without phases is submitted
    Then it is refused with 400 and "no phases"

  Scenario: An unknown key, queue or job is told apart
    Then a submission with key "wrong" is refused with 401
    And a submission to queue "nowhere" is refused with 404
    And the state of job "00000000000000ff" is refused with 410

  Scenario: The number of waiting jobs is shown at every host
    Given team "north" may run 1000
    And tasks that run 30.0 s
    When 5 jobs of 1 task of 1000 are submitted
    And 2.0 s pass
    Then every host shows 4 waiting jobs

  Scenario: The rows of an ended job go after it was shown long enough
    When a job is submitted with phases
      | count | cpu  |
      | 2     | 1000 |
    And 100.0 s pass
    Then the job is "completed"
    When 100.0 s pass
    Then the state of job "00000000000000f1" is refused with 410
    And the store has no row of the job

  Scenario: A job that ended just before a take-over stays known
    Guards against a new leader that drops a job whose tasks still stop.
    When a leader reads a job that failed while a task of it still stops
    Then the job counts as ended from now on
