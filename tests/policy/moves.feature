Feature: Moves of hosts between pools

  Scenario Outline: Another controller completes a move after any step
    Guards against a host in two pools or in none, and a move that never
    ends, after the controller fails between two steps.
    Given a move of host "w0" from "quoting" to "rings"
    When <steps> steps are taken and another controller continues
    Then the host is in pool "rings" and no move is in progress
    And the host was in exactly one pool at every step

    Examples:
      | steps |
      | 0     |
      | 1     |
      | 2     |
      | 3     |
      | 4     |

  Scenario: A move is undone if its target pool is removed
    Guards against a host that is moved into a removed pool.
    Given a move of host "w0" from "quoting" to "rings"
    When 1 steps are taken and pool "rings" is removed
    Then the host is in pool "quoting" and no move is in progress

  Scenario: A move waits for running tasks
    Guards against a host that changes its pool while it runs tasks.
    Given a move of host "w0" from "quoting" to "rings"
    When the host runs 3 tasks
    Then the move waits at step "empty"

  Scenario: Two controllers take the same step
    Guards against a step that is taken twice or from an outdated row.
    Given a move of host "w0" from "quoting" to "rings"
    When two controllers take each step from the same rows
    Then the table refuses the second controller every time
    And the host is in pool "rings" and no move is in progress
