Feature: Pauses of runners on which tasks fail

  Scenario: Consecutive failures of several jobs pause a runner
    Given a runner without failures
    When tasks of jobs "a,b,c" fail on it at 1.0 s
    Then it is paused until 3.0 s

  Scenario: Failures of one job don't pause its runner
    Given a runner without failures
    When tasks of jobs "a,a,a,a,a" fail on it at 1.0 s
    Then it isn't paused at 1.0 s

  Scenario: A successful task between failures prevents a pause
    Given a runner without failures
    When tasks of jobs "a,b" fail on it at 1.0 s
    And a task succeeds on it
    And tasks of jobs "c,d" fail on it at 2.0 s
    Then it isn't paused at 2.0 s

  Scenario: A failure after a pause causes a longer pause
    Given a runner without failures
    When tasks of jobs "a,b,c" fail on it at 1.0 s
    And tasks of jobs "d" fail on it at 3.1 s
    Then it is paused until 7.1 s

  Scenario: A successful task after a pause clears earlier failures
    Given a runner without failures
    When tasks of jobs "a,b,c" fail on it at 1.0 s
    And a task succeeds on it
    And tasks of jobs "d" fail on it at 3.1 s
    Then it isn't paused at 3.1 s
