Feature: At most once, whatever fails

  Each scenario guards against an order that runs twice, and against a
  verdict on it that isn't true.

  Background:
    Given claims of 3 entry hosts, of which 2 hold the seats

  Scenario: The same request id twice at the same time at two entry hosts
    When "order-1" comes to "entry-0" and to "entry-2" at the same time
    Then one of the two claims is "first" and the other is "running"
    And "order-1" has run 1 time

  Scenario: Again after an answer
    When "order-1" comes to "entry-2"
    And the claims go on for 1 s
    And "order-1" comes to "entry-0"
    And the claims go on for 1 s
    Then its claim is "ran" with the first's answer
    And "order-1" has run 1 time

  Scenario: Again after an answer that isn't kept any more
    When "order-1" comes to "entry-2"
    And the claims go on for 1 s
    And the kept answers of "entry-2" are dropped
    And "order-1" comes to "entry-0"
    And the claims go on for 1 s
    Then its claim is "ran" without an answer

  Scenario: Again after a may-have-run
    When "order-1" comes to "entry-2" and may have run
    And the claims go on for 1 s
    And "order-1" comes to "entry-0"
    And the claims go on for 1 s
    Then its claim is "may-have-run" without an answer
    And "order-1" has run 1 time

  Scenario: Again after a refusal before it ran
    When "order-1" comes to "entry-2" and is not run
    And the claims go on for 1 s
    And "order-1" comes to "entry-0"
    And the claims go on for 1 s
    Then its claim is "first" without an answer
    And "order-1" has run 1 time

  Scenario: Again after the entry host that ran it died
    When "order-1" comes to "entry-2" and takes 3 s
    And the claims go on for 1 s
    And the process of "entry-2" starts again
    And "order-1" comes to "entry-2"
    And the claims go on for 1 s
    Then its claim is "may-have-run" without an answer
    And "order-1" has run 1 time

  Scenario: Again after the seats changed hands
    When "order-1" comes to "entry-2"
    And the claims go on for 3 s
    And both seats go to "entry-2"
    And "order-1" comes to "entry-0"
    And the claims go on for 1 s
    Then its claim is "ran" with the first's answer
    And "order-1" has run 1 time

  Scenario: A seat without a holder
    When the seats lose their holders
    And "order-1" comes to "entry-2"
    And the claims go on for 6 s
    Then its claim is "refused" without an answer
    And "order-1" has run 0 times

  Scenario: A seat whose holder can't be reached
    When seat holders are cut off from "entry-2"
    And "order-1" comes to "entry-2"
    And the claims go on for 6 s
    Then its claim is "refused" without an answer
    And "order-1" has run 0 times

  Scenario: The store is down
    When the claims' store is "down"
    And "order-1" comes to "entry-2"
    And the claims go on for 3 s
    Then its claim is "refused" without an answer
    And "order-1" has run 0 times
    When the claims' store is ""
    And the claims go on for 1 s
    And "order-1" comes to "entry-0"
    And the claims go on for 1 s
    Then its claim is "first" without an answer

  Scenario Outline: The store's answer to the write is <fault>
    When the claims' store is "<fault>"
    And "order-1" comes to "entry-2"
    And the claims go on for 3 s
    Then its claim is "refused" without an answer
    And "order-1" has run 0 times
    When the claims' store is ""
    And the claims go on for 3 s
    And "order-1" comes to "entry-0"
    And the claims go on for 1 s
    Then its claim is "first" without an answer
    And "order-1" has run 1 time

    Examples:
      | fault |
      | lost  |
      | late  |

  Scenario: The old holder of a seat was paused while it changed hands
    When both seats' holders are paused
    And both seats go to "entry-2"
    And the claims go on for 1 s
    And "order-1" comes to "entry-2"
    And the claims go on for 1 s
    Then its claim is "first" without an answer
    When the old holders go on without knowing and get a claim of "order-1"
    And the claims go on for 1 s
    Then the table has refused a write
    And the late claim is not "first"
    And "order-1" has run 1 time

  Scenario: Another request under the same id
    When "order-1" comes to "entry-2"
    And the claims go on for 1 s
    And "order-1" comes to "entry-0" with another digest
    And the claims go on for 1 s
    Then its claim is "mismatch" without an answer
    And "order-1" has run 1 time

  Scenario: An answer to a claim of an earlier process
    Guards against a claim number that two processes of a host share.
    Then the claim numbers of two processes of "entry-0" differ

  Scenario: Random faults
    Then 15 random runs from seed 1 give no duplicate and no false refusal
    And each request of a living host has got an outcome

  Scenario: Records end
    Guards against memory and rows that grow for ever.
    When "order-1" comes to "entry-2"
    And the claims go on for 700 s
    And 20 other orders come to "entry-2"
    And the claims go on for 3 s
    Then the journals hold no claim of "order-1"
