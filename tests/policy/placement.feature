Feature: Placement decisions

  Scenario: Best fit agrees with a search of every worker
    Guards against an index that misses a worker or offers a full one.
    Given an index of 400 random workers with seed 2
    When 2000 random needs and changes are tried
    Then each answer fits, and none is missing where any worker fits

  Scenario: Only teams over their share make room
    Guards against victims of teams within their share.
    Given a full worker with tasks of teams "over" and "under"
    Then an urgent need of 8 cores takes only tasks of "over"
    And an urgent need of 20 cores finds no room

  Scenario: Quarantine
    Guards against a bad worker that keeps getting work, or never again.
    When a worker fails 3 tasks in a row
    Then it gets no work for 60 seconds and then one task
    And after another failure it gets no work for 120 seconds

  Scenario: Sizes are learned
    Guards against declared sizes that stay in force.
    When 30 tasks declared with 4 cores use 1 core
    Then the next one is planned with less than 1.2 cores
