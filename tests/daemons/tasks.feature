Feature: Tasks through real processes

  Background:
    Given a site for tasks with workers "w-1,w-2" and control daemons "entry-1,entry-2"

  Scenario: Submit, show, list and cancel
    Guards against a task accepted before its record is written, or seen
    by another team.
    When team "mills" submits a task of 0.5 seconds as "first"
    Then task "first" is finished within 10 seconds
    And team "other" sees no task "first"
    When team "mills" submits a task of 60 seconds as "second"
    And team "mills" cancels task "second"
    Then task "second" is cancelled within 10 seconds
    And a repeat of "first" is the same task and runs once

  Scenario: The controller is killed while a task runs
    Guards against a task that ends, or starts again, with its controller.
    When team "mills" submits a task of 6 seconds as "long"
    And task "long" is running
    And the controlling daemon gets signal 9
    Then task "long" is finished within 20 seconds
    And task "long" was started once

  Scenario: The controller is stopped and another takes over
    Guards against a stopped controller that acts when it continues.
    When team "mills" submits a task of 8 seconds as "long"
    And task "long" is running
    And the controlling daemon gets signal 19
    And team "mills" submits a task of 1 seconds as "next"
    Then task "next" is finished within 15 seconds
    When the stopped daemon gets signal 18
    Then task "long" is finished within 20 seconds
    And task "long" was started once
    And task "next" was started once

  Scenario: The table is down while tasks run
    Guards against running work that ends, and submissions that are
    accepted or called started, while nothing can be written.
    When team "mills" submits a task of 5 seconds as "long"
    And task "long" is running
    And the table is down
    Then a submission of team "mills" is refused as not run
    When 8 seconds go by and the table is up
    Then task "long" is finished within 10 seconds
    And task "long" was started once
