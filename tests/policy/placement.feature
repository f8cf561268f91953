Feature: Placement decisions

  Scenario: The index finds a worker whenever one fits
    Guards against an index that misses a worker or returns a full one.
    Given an index of 400 random workers with seed 2
    When 2000 random needs and changes are tried
    Then each result fits, and one is found whenever any worker fits

  Scenario: Only tasks of teams over their share are preempted
    Guards against victims of teams within their share.
    Given a full worker with tasks of teams "over" and "under"
    Then an urgent need of 8 cores preempts only tasks of "over"
    And an urgent need of 20 cores finds no victims

  Scenario: A worker that fails several tasks in a row is quarantined
    Guards against a broken worker that keeps getting tasks, and against one
    that never gets tasks again.
    When a worker fails 3 tasks in a row
    Then it gets no tasks for 60 seconds and then one
    And after another failure it gets no tasks for 120 seconds

  Scenario: Measured sizes replace declared ones
    Guards against planning with declared sizes that are wrong.
    When 30 tasks declared with 4 cores use 1 core
    Then the next one is planned with less than 1.2 cores
