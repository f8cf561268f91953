Feature: Speeds of runners
  A runner that works at a fraction of the speed gets less work, or none.

  Scenario: A runner at a sixth of the speed is known after two steps
    When tasks of 2 steps take 6.0 times the expected time
    Then the runner is very slow

  Scenario: One step that was declared wrongly makes no runner slow
    When 8 tasks of one step take 6.0 times the expected time
    Then the runner isn't slow

  Scenario: Tasks in the tail make no runner slow
    When 3 in 100 of the tasks of 30 steps take 7.0 times the expected time
    Then the runner isn't slow

  Scenario: A runner is tried again after a while
    When tasks of 4 steps take 6.0 times the expected time
    And 10.5 s pass without tasks
    Then the runner isn't slow

  Scenario: A runner that has recovered is soon used again
    When tasks of 4 steps take 6.0 times the expected time
    And tasks of 8 steps take 1.0 times the expected time
    Then the runner isn't slow

  Scenario: Of runners with room a task goes to one that isn't slow
    Given a runner "slow" of slowness 2.0 with 4 cores free
    And a runner "sound" of slowness 1.0 with 32 cores free
    Then a task that bears a slowness of 1.2 goes to "sound"
    And a task that bears a slowness of 2.5 goes to "slow"

  Scenario: When all runners are slow the fastest one is used
    Given a runner "slower" of slowness 6.0 with 4 cores free
    And a runner "slow" of slowness 5.0 with 32 cores free
    Then a task that bears a slowness of 1.2 goes to "slow"

  Scenario: More jobs end in time beside a runner at a sixth of the speed
    Given 3 runners of 16 slots of which one has a sixth of the speed
    And a load of 0.6 of what the others can run, for 20 s
    Then at least 0.93 of the jobs end in time when speeds are learned
    And under 0.85 of them without
    And at least 0.9 of those that do when speeds are known
