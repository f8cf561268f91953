Feature: Availability of long-running steps

  Scenario: A task may be stopped while all others are at work
    Given a step of 4 long-running tasks with 1 unavailable, all at work
    Then task 0 may be stopped

  Scenario: No task may be stopped while another one is away
    Given a step of 4 long-running tasks with 1 unavailable, all at work
    And task 2 was stopped
    Then task 0 may not be stopped

  Scenario: A task that was last seen starting may be at work by now
    Given a step of 4 long-running tasks with 1 unavailable, all at work
    And task 0 was last seen at 40 percent
    And task 2 was stopped
    Then task 0 may not be stopped

  Scenario: A step without a budget bounds nothing
    Given a step of 4 long-running tasks without a budget, all at work
    And task 2 was stopped
    Then task 0 may be stopped
