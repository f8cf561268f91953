Feature: Capacity of runners that shrinks and grows while runs fill it

  Background:
    Given a site with service "press" on 6 hosts that don't guard their capacity
    And each task runs 0.7 s and takes 2 cores

  Scenario Outline: No start exceeds a runner's capacity
    Guards against starts that go by a capacity of before.
    Given capacities change every <each> s with seed <seed>
    And <trouble>
    When jobs of 12 tasks are submitted every 0.15 s for 20.0 s
    And 30.0 s pass
    Then no start exceeded the capacity of its runner
    And the submitted jobs are "completed"

    Examples:
      | each | seed | trouble                                        |
      | 0.5  | 1    | nothing else happens                           |
      | 2.0  | 2    | nothing else happens                           |
      | 0.5  | 3    | the store's responses come 0.3 s late          |
      | 0.5  | 4    | the leader is killed every 4.0 s               |
      | 1.0  | 5    | commands are carried out late now and then     |
      | 1.0  | 6    | the store is down from 5.0 s to 9.0 s          |

  Scenario: A runner whose capacity is gone starts nothing until it is back
    When jobs of 12 tasks are submitted every 0.15 s for 2.0 s
    And the capacity of every runner becomes 0
    And 8.0 s pass
    And jobs of 12 tasks are submitted every 0.15 s for 1.0 s
    And 3.0 s pass
    Then no start exceeded the capacity of its runner
    And no task runs
    When the capacity of every runner is back
    And 15.0 s pass
    Then the submitted jobs are "completed"
