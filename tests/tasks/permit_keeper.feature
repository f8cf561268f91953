Feature: Permits of divided limits

  Hosts e0 to e5 hold the six seats. Runs last 30 s at most.

  Scenario: One host borrows what the others don't use
    Guards against a team that reaches only the part of one host.
    Given a team with a limit of 60
    When work for 60 permits waits at "e0"
    Then "e0" may use 60 permits
    And all hosts together may use 60 permits

  Scenario: A host without a seat works on loans
    Guards against a seatless host that uses a base part, or that keeps
    more than it uses.
    Given a team with a limit of 60
    And a host "x" without a seat
    Then "x" may use 0 permits
    When work for 25 permits waits at "x"
    And "x" runs work under 25 permits
    And the wish of "x" ends
    And 0.3 s pass
    Then "x" may use 0 permits
    And all hosts together may use 35 permits

  Scenario: A lost loan comes back after its life and the longest run
    Guards against permits that a lost message removes for good, and
    against permits that come back before their work has ended.
    Given a team with a limit of 60
    And messages from "e1" to "e0" are lost
    When work for 60 permits waits at "e0"
    Then "e0" may use 50 permits
    And "e1" may use 0 permits
    When the wish of "e0" ends
    And 31.9 s pass
    Then "e1" may use 0 permits
    When 0.2 s pass
    Then "e1" may use 10 permits

  Scenario: A borrower stops before its home takes the loan back
    Guards against permits used by both hosts after a partition.
    Given a team with a limit of 60
    When work for 60 permits waits at "e0"
    And "e0" runs work under 60 permits
    And "e0" is cut off from its peers but stays fresh
    And 1.9 s pass
    Then 5 runs end at "e0" and 5 new ones start
    When 0.2 s pass
    Then 5 runs end at "e0" and 0 new ones start

  Scenario: A copy of a declined loan isn't used
    Guards against permits used twice when the first copy of a loan went
    back to its home and a second one arrives.
    Given a team with a limit of 60
    And loans to "e0" arrive late
    When work for 20 permits waits at "e0"
    And the wish of "e0" ends
    And the late loans arrive
    And work for 60 permits waits at "e0"
    And the late loans arrive again
    Then all hosts together may use 60 permits

  Scenario: A loan to an earlier incarnation isn't given back
    Guards against permits that come back while work of a killed host
    goes on.
    Given a team with a limit of 60
    And loans to "e0" arrive late
    When work for 20 permits waits at "e0"
    And "e0" is replaced by a new incarnation
    And the late loans arrive
    Then nothing is returned
    And all hosts together may use 0 permits

  Scenario: Repeated and reordered returns count once
    Guards against permits that are created by a repeated message.
    Given a team with a limit of 60
    When work for 20 permits waits at "e0"
    And "e1" hears that 4, 7, 4 and 7 of them are back
    Then "e1" may use 7 permits

  Scenario: A new holder waits before it uses its base parts
    Guards against base parts that two holders use at once.
    Given a team with a limit of 60
    When a host "x" takes the seat of "e1"
    Then "x" may use 0 permits
    And "e1" may use 0 permits
    When 33.9 s pass
    Then "x" may use 0 permits
    When 0.2 s pass
    Then "x" may use 10 permits

  Scenario: A host that isn't fresh uses and lends nothing
    Guards against work admitted under a state that is out of date.
    Given a team with a limit of 60
    When "e1" isn't fresh
    And work for 60 permits waits at "e0"
    Then "e1" may use 0 permits
    And "e0" may use 50 permits

  Scenario Outline: A freed permit goes to the most deserving waiter
    Guards against a slot that idles, or that the wrong waiter gets.
    Given runners with 6 slots, all in use
    And a waiter of rank <here> at "e0" that has waited <here_s> s
    And a waiter of rank <there> at "e1" that has waited <there_s> s
    When "e0" frees a slot
    Then the slot is at "<place>"

    Examples:
      | here | here_s | there | there_s | place |
      | 1.0  | 1      | 2.0   | 5       | e0    |
      | 2.0  | 5      | 1.0   | 1       | e1    |
      | 1.0  | 1      | 1.0   | 2       | e1    |

  Scenario Outline: A spare pool lends what its own queue doesn't need
    Guards against a burst that takes slots from the spare pool's work.
    Given a spare pool with 6 free slots
    And work for <own> slots waits for the spare pool at "e1"
    When work for 6 slots waits for the main pool at "e0"
    Then "e0" may use <lent> spare slots

    Examples:
      | own | lent |
      | 0   | 6    |
      | 1   | 5    |

  Scenario: A lowered limit admits nothing until work has ended
    Guards against new work above a lowered limit.
    Given a team with a limit of 60
    When "e0" runs work under 10 permits
    And the limit is lowered to 24
    Then 6 runs end at "e0" and 0 new ones start
    And 2 runs end at "e0" and 2 new ones start

  Scenario: No run is longer than the home of a loan waits for
    Guards against a home with an older state that takes permits back
    while a run goes on that a newer state allows.
    Given a team with a limit of 60
    When work for 60 permits waits at "e0"
    And "e0" learns that runs last 90 s
    Then "e0" starts 10 runs of 90 s and 50 of 30 s

  Scenario: Nothing is sent at rest
    Guards against idle hosts that load the network and processors.
    Given a team with a limit of 60
    When work for 60 permits waits at "e0"
    And the wish of "e0" ends
    And 1 s pass
    Then "e1" may use 10 permits
    And no message is sent in 60 s and no timer is left

  Scenario Outline: Random faults lead to no overrun
    Guards against more work at the runners than a limit allows, with
    lost, repeated, late and reordered messages, one-way cuts, kills,
    replacements, seats that move and pauses of 30 s.
    When a site runs for 60 s with seed <seed>
    Then no limit was exceeded at the runners
    And every limit was used to at least 75%

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |

  Scenario Outline: A fault in the program trips an invariant check
    Guards against checks inside the program that can't fail.
    Given invariant checks are on
    And a team with a limit of 60
    When <fault>
    Then an invariant violation with event <number> is raised

    Examples:
      | fault                                        | number |
      | a host forgets what it has lent of a team    | 1901   |
      | a host forgets what it has lent of a runner  | 1902   |
      | every seat gets the whole limit as its part  | 1903   |
