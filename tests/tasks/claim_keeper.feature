Feature: A claimed request runs at most once under faults

  Each scenario guards against a request that runs twice and against a
  wrong verdict on it.

  Background:
    Given a site of 3 entry hosts, of which 2 hold the seats

  Scenario: Concurrent attempts at two entry hosts run once
    When request "order-1" arrives at "entry-0" and "entry-2" at the same time
    Then one of the two claims is "first" and the other is "running"
    And request "order-1" has run 1 time

  Scenario: A repeated request gets the cached answer
    When request "order-1" arrives at "entry-2"
    And the site runs for 1 s
    And request "order-1" arrives at "entry-0"
    And the site runs for 1 s
    Then its claim is "ran" with the answer of the first attempt
    And request "order-1" has run 1 time

  Scenario: A repeated request whose answer was dropped gets the outcome only
    When request "order-1" arrives at "entry-2"
    And the site runs for 1 s
    And the cached answers of "entry-2" are dropped
    And request "order-1" arrives at "entry-0"
    And the site runs for 1 s
    Then its claim is "ran" without an answer

  Scenario: A request that may have run isn't run again
    When request "order-1" arrives at "entry-2" and ends as may-have-run
    And the site runs for 1 s
    And request "order-1" arrives at "entry-0"
    And the site runs for 1 s
    Then its claim is "may-have-run" without an answer
    And request "order-1" has run 1 time

  Scenario: A request that ended as not-run may run again
    When request "order-1" arrives at "entry-2" and ends as not-run
    And the site runs for 1 s
    And request "order-1" arrives at "entry-0"
    And the site runs for 1 s
    Then its claim is "first" without an answer
    And request "order-1" has run 1 time

  Scenario: A request isn't run again after its entry host has restarted
    When request "order-1" arrives at "entry-2" and runs for 3 s
    And the site runs for 1 s
    And the process of "entry-2" restarts
    And request "order-1" arrives at "entry-2"
    And the site runs for 1 s
    Then its claim is "may-have-run" without an answer
    And request "order-1" has run 1 time

  Scenario: A repeated request gets the cached answer after the seats moved
    When request "order-1" arrives at "entry-2"
    And the site runs for 3 s
    And both seats move to "entry-2"
    And request "order-1" arrives at "entry-0"
    And the site runs for 1 s
    Then its claim is "ran" with the answer of the first attempt
    And request "order-1" has run 1 time

  Scenario: A claim is refused while its seat has no holder
    When the seats lose their holders
    And request "order-1" arrives at "entry-2"
    And the site runs for 6 s
    Then its claim is "refused" without an answer
    And request "order-1" has run 0 times

  Scenario: A claim is refused while the seat's holder is unreachable
    When the seat holders are cut off from "entry-2"
    And request "order-1" arrives at "entry-2"
    And the site runs for 6 s
    Then its claim is "refused" without an answer
    And request "order-1" has run 0 times

  Scenario: A claim is refused while the store is down and works afterwards
    When the fault of the store is "down"
    And request "order-1" arrives at "entry-2"
    And the site runs for 3 s
    Then its claim is "refused" without an answer
    And request "order-1" has run 0 times
    When the store has no fault
    And the site runs for 1 s
    And request "order-1" arrives at "entry-0"
    And the site runs for 1 s
    Then its claim is "first" without an answer

  Scenario Outline: A claim is refused when the answer to its write is <fault>
    When the fault of the store is "<fault>"
    And request "order-1" arrives at "entry-2"
    And the site runs for 3 s
    Then its claim is "refused" without an answer
    And request "order-1" has run 0 times
    When the store has no fault
    And the site runs for 3 s
    And request "order-1" arrives at "entry-0"
    And the site runs for 1 s
    Then its claim is "first" without an answer
    And request "order-1" has run 1 time

    Examples:
      | fault |
      | lost  |
      | late  |

  Scenario: A paused holder can't grant claims after its seat has moved
    When the holders of both seats are paused
    And both seats move to "entry-2"
    And the site runs for 1 s
    And request "order-1" arrives at "entry-2"
    And the site runs for 1 s
    Then its claim is "first" without an answer
    When the stale previous holders resume and get a claim of "order-1"
    And the site runs for 1 s
    Then the store has rejected a write
    And the outcome of that claim is not "first"
    And request "order-1" has run 1 time

  Scenario: A request with the id of another request is a mismatch
    When request "order-1" arrives at "entry-2"
    And the site runs for 1 s
    And request "order-1" arrives at "entry-0" with another digest
    And the site runs for 1 s
    Then its claim is "mismatch" without an answer
    And request "order-1" has run 1 time

  Scenario: Incarnations of an entry host use different claim numbers
    Guards against an answer to a claim of the previous process that is
    matched to a claim of the current one.
    Then the claim numbers of two processes of "entry-0" differ

  Scenario: Random faults cause no duplicate run and no false refusal
    Then 15 random runs from seed 1 give no duplicate and no false refusal
    And each request at a live host has an outcome

  Scenario: Expired claim records are removed from the journal
    Guards against unbounded growth of memory and rows.
    When request "order-1" arrives at "entry-2"
    And the site runs for 700 s
    And 20 other requests arrive at "entry-2"
    And the site runs for 3 s
    Then the journals contain no claim of "order-1"
