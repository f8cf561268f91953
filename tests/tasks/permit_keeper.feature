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

  Scenario Outline: The life of a loan counts from the ask or the renewal
    Guards against a message that is long under way and keeps a loan alive
    for longer than its home knows.
    Given a team with a limit of 60
    And <messages> to "e0" arrive late
    When work for 20 permits waits at "e0"
    And "e0" runs work under <at_first> permits
    And 1.5 s pass
    And the late messages arrive
    And "e0" runs work under <later> permits
    And "e0" is cut off from its peers but stays fresh
    And <then_s> s pass
    Then 5 runs end at "e0" and 0 new ones start

    Examples: renewals are sent 0.6 s and 1.1 s after the ask
      | messages | at_first | later | then_s |
      | Loan     | 10       | 10    | 0.6    |
      | RenewAck | 20       | 0     | 1.7    |

  Scenario: A paused host doesn't use loans that lapsed meanwhile
    Guards against a loan used before the timers of a resumed host ran.
    Given a team with a limit of 60
    When work for 60 permits waits at "e0"
    And "e0" is paused for 2.1 s but stays fresh
    Then "e0" may use 10 permits

  Scenario: A home that isn't fresh renews no loan
    Guards against base parts lent on after the seat has moved.
    Given a team with a limit of 60
    When work for 60 permits waits at "e0"
    And "e0" runs work under 60 permits
    And "e1" isn't fresh
    And 2.1 s pass
    Then 60 runs end at "e0" and 50 new ones start

  Scenario: The slots of a returned zone grow over four seconds
    Guards against a returned zone that gets all its load at once.
    Given a runner with 24 slots in a zone that was out
    When the zone returns
    Then all hosts together may use 6 slots
    When 4.1 s pass
    Then all hosts together may use 24 slots

  Scenario: A copy of a declined loan isn't used
    Guards against permits used twice when the first copy of a loan went
    back to its home and a second one arrives.
    Given a team with a limit of 60
    And Loan to "e0" arrive late
    When work for 20 permits waits at "e0"
    And the wish of "e0" ends
    And the late messages arrive
    And work for 60 permits waits at "e0"
    And the late messages arrive again
    Then all hosts together may use 60 permits

  Scenario: A loan to an earlier incarnation isn't given back
    Guards against permits that come back while work of a killed host
    goes on.
    Given a team with a limit of 60
    And Loan to "e0" arrive late
    When work for 20 permits waits at "e0"
    And "e0" is replaced by a new incarnation
    And the late messages arrive
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

  Scenario: A lowered limit admits nothing until enough work has ended
    Guards against new work at one host while older work at another keeps
    the team above its lowered limit.
    Given a team with a limit of 60
    When "e0" runs work under 10 permits
    And the limit is lowered to 24
    Then 5 runs end at "e0" and 0 new ones start
    And all hosts together may use 0 permits
    And 2 runs end at "e0" and 1 new ones start
    And all hosts together may use 20 permits

  Scenario: A host that can't report holds a lowered limit for a time only
    Guards against a team that never reaches its lowered limit again, and
    against a host that counts a missing report as one.
    Given a team with a limit of 60
    When "e0" is cut off from its peers but stays fresh
    And the limit is lowered to 54
    Then "e1" may use 8 permits
    When 33.9 s pass
    Then "e1" may use 8 permits
    When 0.2 s pass
    Then "e1" may use 9 permits

  Scenario: A lost report is repeated when work waits
    Guards against a lowered limit that stays too low after one loss.
    Given a team with a limit of 60
    And messages from "e0" to "e1" are lost
    When the limit is lowered to 54
    Then "e1" may use 8 permits
    When all messages arrive again
    And work for 9 permits waits at "e1"
    Then "e1" may use 14 permits

  Scenario: A prepared restriction binds at once and can be lifted
    Guards against base parts used while a change takes them away, and
    against a refused change that lowers a limit for good.
    Given a team with a limit of 60
    When a limit of 24 and a new holder for the seat of "e1" are prepared
    Then "e1" may use 0 permits
    And all hosts together may use 20 permits
    When the prepared change is lifted
    Then all hosts together may use 60 permits

  Scenario: A missing report counts from when the change is in force
    Guards against a host that missed the prepare and goes on for longer.
    Given a team with a limit of 60
    When "e0" is cut off from its peers but stays fresh
    And a limit of 54 and a new holder for the seat of "e5" are prepared
    And 10 s pass
    And the limit is lowered to 54
    And 33.9 s pass
    Then "e1" may use 8 permits
    When 0.2 s pass
    Then "e1" may use 9 permits

  Scenario: Slots of a draining runner aren't lent
    Guards against permits lent that nobody may use.
    Given a spare pool with 6 free slots
    When its runner drains
    And work for 6 slots waits for the main pool at "e0"
    Then "e0" may use 1 spare slots

  Scenario: A loan of before a lowered limit starts no new work
    Guards against loans that raise a team above its lowered limit.
    Given a team with a limit of 60
    When work for 60 permits waits at "e0"
    And the limit is lowered to 24
    Then "e0" may use 0 permits

  Scenario: A loan under way while a limit is lowered starts no new work
    Guards against loans of the higher limit that arrive late.
    Given a team with a limit of 60
    And Loan to "e0" arrive late
    When work for 60 permits waits at "e0"
    And the limit is lowered to 24
    And the late messages arrive
    And the late messages arrive again
    Then "e0" may use 4 permits

  Scenario: A late renewal doesn't revive a loan of before a lowered limit
    Guards against renewals that were acknowledged under the higher limit.
    Given a team with a limit of 60
    And RenewAck to "e0" arrive late
    When work for 20 permits waits at "e0"
    And "e0" runs work under 20 permits
    And 0.7 s pass
    And the limit is lowered to 54
    And the late messages arrive
    Then 5 runs end at "e0" and 0 new ones start

  Scenario: A report of an earlier change doesn't count
    Guards against a late copy of a report that hides work at a peer.
    Given a team with a limit of 60
    When the limit is lowered to 54
    And the limit is raised to 60
    And "e0" runs work under 10 permits
    And the limit is lowered to 54
    Then "e1" may use 8 permits
    When copies of all earlier reports of "e0" arrive at "e1"
    Then "e1" may use 8 permits

  Scenario: A new holder doesn't report for its predecessor
    Guards against a report that hides work of a host that was replaced.
    Given a team with a limit of 60
    When a host "x" takes the seat of "e1"
    And the limit is lowered to 54
    Then "e2" may use 8 permits

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
