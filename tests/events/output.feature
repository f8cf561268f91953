Feature: Output of log lines

  Scenario: A process without lines to write schedules nothing
    Given a buffer of lines that is flushed
    When 1.0 s pass
    Then nothing is scheduled

  Scenario: A line is written within the flush interval
    Given a buffer of lines that is flushed
    When 1.0 s pass
    And 3 lines are logged
    And 0.05 s pass
    Then 3 lines were written
    And nothing is scheduled

  Scenario: Lines that the descriptor doesn't accept are written later
    Given a buffer of lines that is flushed
    And a reader that reads nothing
    When 3000 lines are logged
    And 0.05 s pass
    Then less than 3000 lines were written
    When the reader reads on for 5.0 s
    Then 3000 lines were written
    And nothing is scheduled

  Scenario: Lines beyond the limit are dropped and counted
    Given a buffer of lines that is flushed
    And a reader that reads nothing
    When 9000 lines are logged
    And the reader reads on for 5.0 s
    Then less than 9000 lines were written
    And the last line tells how many were dropped
