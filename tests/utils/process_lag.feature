Feature: How late a process runs its timers

  Scenario: A process that keeps up isn't late
    Given the lag of a process is measured
    When 2.0 s pass in steps of 0.01 s
    Then the process was late for 0.0 s in all

  Scenario: The time in which a process doesn't run its timers counts
    Given the lag of a process is measured
    When the process doesn't run for 0.5 s
    And 1.0 s pass in steps of 0.01 s
    And the process doesn't run for 0.7 s
    Then the process was late for 1.0 s in all

  Scenario: A delay counts before the timer that measures it runs
    Given the lag of a process is measured
    When 0.5 s pass without its timers
    Then the process was late for 0.4 s in all
