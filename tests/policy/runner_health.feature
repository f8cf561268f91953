Feature: Runners on which everything fails get no tasks for a while

  Scenario: Failures of several jobs in a row pause a runner
    Given a runner whose tasks' ends are judged
    When tasks of jobs "a,b,c" fail on it at 1.0 s
    Then it is paused until 3.0 s

  Scenario: Failures of one job don't speak against its runner
    Given a runner whose tasks' ends are judged
    When tasks of jobs "a,a,a,a,a" fail on it at 1.0 s
    Then it isn't paused at 1.0 s

  Scenario: A done task between failures shows that a runner works
    Given a runner whose tasks' ends are judged
    When tasks of jobs "a,b" fail on it at 1.0 s
    And a task is done on it
    And tasks of jobs "c,d" fail on it at 2.0 s
    Then it isn't paused at 2.0 s

  Scenario: A runner that fails its trial is paused for longer
    Given a runner whose tasks' ends are judged
    When tasks of jobs "a,b,c" fail on it at 1.0 s
    And tasks of jobs "d" fail on it at 3.1 s
    Then it is paused until 7.1 s

  Scenario: A runner that passes its trial is like any other
    Given a runner whose tasks' ends are judged
    When tasks of jobs "a,b,c" fail on it at 1.0 s
    And a task is done on it
    And tasks of jobs "d" fail on it at 3.1 s
    Then it isn't paused at 3.1 s
