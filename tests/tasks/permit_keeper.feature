Feature: Permits of divided limits

  Hosts e0 to e5 hold the six seats. A run lasts at most 30 s.

  Scenario: One host borrows the permits that the others don't use
    Guards against a team that can use only the base part of one host.
    Given a team with a limit of 60
    When work for 60 permits waits at "e0"
    Then "e0" may use 60 permits
    And all hosts together may use 60 permits

  Scenario: A host without a seat works with borrowed permits
    Guards against a host without a seat that uses a base part, or that
    keeps more permits than it uses.
    Given a team with a limit of 60
    And a host "x" without a seat
    Then "x" may use 0 permits
    When work for 25 permits waits at "x"
    And "x" runs work under 25 permits
    And the demand of "x" ends
    And 0.3 s pass
    Then "x" may use 0 permits
    And all hosts together may use 35 permits

  Scenario: A lost loan is reclaimed after its lifetime and the longest run
    Guards against permits that a lost message removes for good, and
    against permits that are reclaimed before their work has ended.
    Given a team with a limit of 60
    And messages from "e1" to "e0" are lost
    When work for 60 permits waits at "e0"
    Then "e0" may use 50 permits
    And "e1" may use 0 permits
    When the demand of "e0" ends
    And 31.9 s pass
    Then "e1" may use 0 permits
    When 0.2 s pass
    Then "e1" may use 10 permits

  Scenario: A borrower stops using a loan before the lender reclaims it
    Guards against permits that both hosts use after a partition.
    Given a team with a limit of 60
    When work for 60 permits waits at "e0"
    And "e0" runs work under 60 permits
    And "e0" is cut off from its peers but stays fresh
    And 1.9 s pass
    Then 5 runs end at "e0" and 5 new ones start
    When 0.2 s pass
    Then 5 runs end at "e0" and 0 new ones start

  Scenario Outline: A loan's lifetime starts when its ask or renewal is sent
    Guards against a delayed message that keeps a loan valid for longer
    than its lender expects.
    Given a team with a limit of 60
    And <messages> messages to "e0" arrive late
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

  Scenario: A paused host doesn't use loans that expired during the pause
    Guards against a loan used before the timers of a resumed host run.
    Given a team with a limit of 60
    When work for 60 permits waits at "e0"
    And "e0" is paused for 2.1 s but stays fresh
    Then "e0" may use 10 permits

  Scenario: A lender that isn't fresh renews no loan
    Guards against base parts that stay lent after the seat has moved.
    Given a team with a limit of 60
    When work for 60 permits waits at "e0"
    And "e0" runs work under 60 permits
    And "e1" isn't fresh
    And 2.1 s pass
    Then 60 runs end at "e0" and 50 new ones start

  Scenario: The usable slots of a returned zone grow over four seconds
    Guards against a returned zone that gets its full load at once.
    Given a runner with 24 slots in a zone that was out
    When the zone returns
    Then all hosts together may use 6 slots
    When 4.1 s pass
    Then all hosts together may use 24 slots

  Scenario: A copy of a declined loan isn't used
    Guards against permits used twice when the first copy of a loan was
    returned to its lender and a second copy arrives.
    Given a team with a limit of 60
    And Loan messages to "e0" arrive late
    When work for 20 permits waits at "e0"
    And the demand of "e0" ends
    And the late messages arrive
    And work for 60 permits waits at "e0"
    And the late messages arrive again
    Then all hosts together may use 60 permits

  Scenario: A loan to a previous incarnation isn't returned
    Guards against permits that are returned while work of a killed host
    still runs.
    Given a team with a limit of 60
    And Loan messages to "e0" arrive late
    When work for 20 permits waits at "e0"
    And "e0" is replaced by a new incarnation
    And the late messages arrive
    Then no permit is returned
    And all hosts together may use 0 permits

  Scenario: Repeated and reordered returns count once
    Guards against permits that are created by a repeated message.
    Given a team with a limit of 60
    When work for 20 permits waits at "e0"
    And "e1" receives returns of 4, 7, 4 and 7 permits
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

  Scenario: A new holder waits for work that started under a longer run time
    Guards against a wait that is too short for work that its predecessor
    started before the longest run time was lowered.
    Given a team with a limit of 60
    And a host "x" without a seat
    When "e1" runs work under 10 permits
    And the longest run time is lowered to 5 s
    And 1 s pass
    And a host "x" that knows the change takes the seat of "e1"
    And 9.1 s pass
    Then "x" may use 0 permits
    When 23.7 s pass
    Then "x" may use 0 permits
    When 0.3 s pass
    Then "x" may use 10 permits

  Scenario: The new holder of a seat that was handed over doesn't wait
    Guards against a rolling restart that leaves no host with permits.
    Given a team with a limit of 60
    When "e1" hands its seat over to "x"
    Then "x" may use 10 permits
    And "e1" may use 0 permits

  Scenario: A seat isn't handed over while its permits are lent
    Guards against permits that a successor and a borrower use at once.
    Given a team with a limit of 60
    When work for 60 permits waits at "e0"
    And "e1" begins its handover
    Then "e1" may not release its seat
    When the demand of "e0" ends
    And 3 s pass
    Then "e1" may release its seat
    When work for 60 permits waits at "e0"
    Then "e0" may use 50 permits

  Scenario: A new holder that still waits doesn't release its seat
    Guards against a successor that uses base parts at once while work of
    the holder before the previous one still runs.
    Given a team with a limit of 60
    When a host "x" takes the seat of "e1"
    And 5 s pass
    And "x" begins its handover
    Then "x" may not release its seat
    When 29.1 s pass
    Then "x" may release its seat

  Scenario: A host that isn't fresh uses and lends nothing
    Guards against work admitted under an outdated state.
    Given a team with a limit of 60
    When "e1" isn't fresh
    And work for 60 permits waits at "e0"
    Then "e1" may use 0 permits
    And "e0" may use 50 permits

  Scenario Outline: A freed permit goes to the waiter with the highest priority
    Guards against a slot that stays idle or goes to the wrong waiter.
    Given runners with 6 slots, all in use
    And a waiter of rank <here> at "e0" that has waited <here_s> s
    And a waiter of rank <there> at "e1" that has waited <there_s> s
    When "e0" frees a slot
    Then the free slot is at "<host>"

    Examples:
      | here | here_s | there | there_s | host |
      | 1.0  | 1      | 2.0   | 5       | e0   |
      | 2.0  | 5      | 1.0   | 1       | e1   |
      | 1.0  | 1      | 1.0   | 2       | e1   |

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

  Scenario: A seat isn't handed over while other seats may exceed a lowered limit
    Guards against new work of a successor, which doesn't know that the limit
    was lowered, while older work keeps the team above it.
    Given a team with a limit of 60
    When "e0" runs work under 10 permits
    And the limit is lowered to 6
    And "e1" begins its handover
    Then "e1" may not release its seat
    When 34.1 s pass
    Then "e1" may release its seat

  Scenario: A limit is lowered while a released seat has no holder
    Guards against a host that takes the seat after the change, which it
    doesn't know, and uses its part at once.
    Given a team with a limit of 60
    When "e0" runs work under 10 permits
    And "e1" releases its seat
    And the limit is lowered to 6
    And a new host "x" takes the released seat
    Then all hosts together may use 0 permits
    When 34.1 s pass
    Then "x" may use 1 permits

  Scenario: A host that can't report delays a lowered limit for a limited time
    Guards against a team that never reaches its lowered limit again, and
    against a host that treats a missing report as received.
    Given a team with a limit of 60
    When "e0" is cut off from its peers but stays fresh
    And the limit is lowered to 54
    Then "e1" may use 8 permits
    When 33.9 s pass
    Then "e1" may use 8 permits
    When 0.2 s pass
    Then "e1" may use 9 permits

  Scenario: A lost report is repeated when work waits
    Guards against a team held below its lowered limit by one lost message.
    Given a team with a limit of 60
    And messages from "e0" to "e1" are lost
    When the limit is lowered to 54
    Then "e1" may use 8 permits
    When all messages arrive again
    And work for 9 permits waits at "e1"
    Then "e1" may use 14 permits

  Scenario: A prepared restriction applies at once and can be withdrawn
    Guards against base parts used while a change takes them away, and
    against a refused change that lowers a limit for good.
    Given a team with a limit of 60
    When a limit of 24 and a new holder for the seat of "e1" are prepared
    Then "e1" may use 0 permits
    And all hosts together may use 20 permits
    When the prepared change is withdrawn
    Then all hosts together may use 60 permits

  Scenario: The wait for a missing report starts when the change is in force
    Guards against a host that missed the prepare message and uses the
    higher limit for longer.
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
    Guards against loans of permits that no host may use.
    Given a spare pool with 6 free slots
    When its runner is draining
    And work for 6 slots waits for the main pool at "e0"
    Then "e0" may use 1 spare slots

  Scenario: A loan made before a limit was lowered starts no new work
    Guards against loans that raise a team above its lowered limit.
    Given a team with a limit of 60
    When work for 60 permits waits at "e0"
    And the limit is lowered to 24
    Then "e0" may use 0 permits

  Scenario: A loan in flight while a limit is lowered starts no new work
    Guards against loans made at the higher limit that arrive late.
    Given a team with a limit of 60
    And Loan messages to "e0" arrive late
    When work for 60 permits waits at "e0"
    And the limit is lowered to 24
    And the late messages arrive
    And the late messages arrive again
    Then "e0" may use 4 permits

  Scenario: A late renewal doesn't extend a loan made at the higher limit
    Guards against renewals that were acknowledged under the higher limit.
    Given a team with a limit of 60
    And RenewAck messages to "e0" arrive late
    When work for 20 permits waits at "e0"
    And "e0" runs work under 20 permits
    And 0.7 s pass
    And the limit is lowered to 54
    And the late messages arrive
    Then 5 runs end at "e0" and 0 new ones start

  Scenario: A report on a previous change is ignored
    Guards against a late copy of a report that hides work at a peer.
    Given a team with a limit of 60
    When the limit is lowered to 54
    And the limit is raised to 60
    And "e0" runs work under 10 permits
    And the limit is lowered to 54
    Then "e1" may use 8 permits
    When copies of all previous reports of "e0" arrive at "e1"
    Then "e1" may use 8 permits

  Scenario: A new holder doesn't report for its predecessor
    Guards against a report that hides work of a host that was replaced.
    Given a team with a limit of 60
    When a host "x" takes the seat of "e1"
    And the limit is lowered to 54
    Then "e2" may use 8 permits

  Scenario: No run under a loan is longer than its lender waits for
    Guards against a lender with an older state that reclaims permits
    during a run that a newer state allows.
    Given a team with a limit of 60
    When work for 60 permits waits at "e0"
    And "e0" applies a longest run of 90 s
    Then "e0" starts 10 runs of 90 s and 50 of 30 s

  Scenario: Idle hosts send no messages
    Guards against idle hosts that load the network and processors.
    Given a team with a limit of 60
    When work for 60 permits waits at "e0"
    And the demand of "e0" ends
    And 1 s pass
    Then "e1" may use 10 permits
    And no message is sent in 60 s and no timer is left

  Scenario Outline: Random faults never lead to more work than a limit allows
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

  Scenario Outline: A fault in the program raises an invariant violation
    Guards against invariant checks that can never fail.
    Given invariant checks are enabled
    And a team with a limit of 60
    When <fault>
    Then an invariant violation with event <number> is raised

    Examples:
      | fault                                             | number |
      | a host doesn't count what it has lent of a team   | 1901   |
      | a host doesn't count what it has lent of a runner | 1902   |
      | every seat gets the whole limit as its base part  | 1903   |
