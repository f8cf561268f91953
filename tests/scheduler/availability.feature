Feature: Availability of long-running steps

  Scenario: A task may be stopped while all others are serving
    Given a step of 4 long-running tasks with 1 unavailable, all serving
    Then task 0 may be stopped

  Scenario: No task may be stopped while another one is unavailable
    Given a step of 4 long-running tasks with 1 unavailable, all serving
    And task 2 was stopped
    Then task 0 may not be stopped

  Scenario: A task that was last seen starting may be serving by now
    Given a step of 4 long-running tasks with 1 unavailable, all serving
    And task 0 was last seen at 40 percent
    And task 2 was stopped
    Then task 0 may not be stopped

  Scenario: A step without a budget allows any task to be stopped
    Given a step of 4 long-running tasks without a budget, all serving
    And task 2 was stopped
    Then task 0 may be stopped
