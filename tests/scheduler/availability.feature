Feature: Availability of long-running steps

  Scenario: A task may be stopped while all others are serving
    Given a step of 4 serving long-running tasks with a budget of 1
    Then task 0 may be stopped

  Scenario: No task may be stopped while another one is unavailable
    Given a step of 4 serving long-running tasks with a budget of 1
    And task 2 was stopped
    Then task 0 may not be stopped

  Scenario: A task that last reported starting may be serving by now
    Given a step of 4 serving long-running tasks with a budget of 1
    And task 0 last reported 40 percent
    And task 2 was stopped
    Then task 0 may not be stopped

  Scenario: A step without a budget allows any task to be stopped
    Given a step of 4 serving long-running tasks without a budget
    And task 2 was stopped
    Then task 0 may be stopped

  Scenario: A task whose start was carried out late serves on
    Guards against a stop of a task that is at work because its start got no
    answer at first (review/10).
    Given a site with service "press" on 8 hosts and queue "fit"
    And hosts stay in their pools
    And a start is carried out 3.9 s late, and stops of its run after 30.0 s
    When a job of 3 long-running tasks with a budget of 1 is submitted
    And 12.0 s pass
    Then the late start was carried out
    And no stop of its run was sent after it
    And all long-running tasks run
    And no task was stopped
