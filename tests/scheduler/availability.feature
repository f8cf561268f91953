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
