Feature: Moves of hosts between pools

  Scenario Outline: A controller dies after any step
    Guards against a host in two pools or in none, or a move that hangs.
    Given a move of host "w0" from "quoting" to "rings"
    When <steps> steps are taken and another controller goes on
    Then the host is in pool "rings" and under no move
    And the host was in exactly one pool at every step

    Examples:
      | steps |
      | 0     |
      | 1     |
      | 2     |
      | 3     |
      | 4     |

  Scenario: The target pool is removed before the host is empty
    Guards against a host that is moved into a pool that is gone.
    Given a move of host "w0" from "quoting" to "rings"
    When 1 steps are taken and pool "rings" is removed
    Then the host is in pool "quoting" and under no move

  Scenario: A host that still runs work
    Guards against a host that changes its pool under running work.
    Given a move of host "w0" from "quoting" to "rings"
    When the host runs 3 tasks
    Then the move waits at step "empty"

  Scenario: Two controllers take the same step
    Guards against a step taken twice, or on an old record.
    Given a move of host "w0" from "quoting" to "rings"
    When two controllers take each step from the same rows
    Then the table refuses the second one every time
    And the host is in pool "rings" and under no move
