Feature: Tasks run by real processes

  Background:
    Given a site for tasks with workers "w-1,w-2" and control daemons "entry-1,entry-2"

  Scenario: A team submits, shows, lists and cancels its tasks
    Guards against a task that is accepted before its record is written,
    or is visible to another team.
    When team "mills" submits a task of 0.5 seconds as "first"
    Then task "first" is finished within 10 seconds
    And team "other" sees no task "first"
    When team "mills" submits a task of 60 seconds as "second"
    And team "mills" cancels task "second"
    Then task "second" is cancelled within 10 seconds
    And a repeated submission of "first" returns the same task, which runs once

  Scenario: The controller is killed while a task runs
    Guards against a task that is stopped or started again because its
    controller died.
    When team "mills" submits a task of 6 seconds as "long"
    And task "long" is running
    And the controlling daemon gets signal 9
    Then task "long" is finished within 20 seconds
    And task "long" was started once

  Scenario: The controller is suspended and another takes over
    Guards against a controller that still starts or stops tasks when it
    resumes after its lease has expired.
    When team "mills" submits a task of 8 seconds as "long"
    And task "long" is running
    And the controlling daemon gets signal 19
    And team "mills" submits a task of 1 seconds as "next"
    Then task "next" is finished within 15 seconds
    When the suspended daemon gets signal 18
    Then task "long" is finished within 20 seconds
    And task "long" was started once
    And task "next" was started once

  Scenario: The table is down while tasks run
    Guards against running tasks that are stopped, and submissions that
    are accepted or reported as possibly run, while nothing can be
    written.
    When team "mills" submits a task of 5 seconds as "long"
    And task "long" is running
    And the table is down
    Then a submission of team "mills" is refused as not run
    When 8 seconds go by and the table is up
    Then task "long" is finished within 10 seconds
    And task "long" was started once
