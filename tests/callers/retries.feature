Feature: Retries at another runner

  Scenario Outline: A <method> that a runner <behaviour> is <outcome>
    Guards against an order that runs twice, or is lost though it could run.
    Given an entry host with a full retry budget whose runner <behaviour>
    When a "<method>" of <size> bytes comes from a caller
    Then the request is <outcome>

    Examples:
      | method | behaviour          | size   | outcome                              |
      | POST   | refuses at first   | 100    | answered after 2 attempts            |
      | POST   | refuses at first   | 150000 | refused with 503 "runner-refused" "not-run" after 1 attempt |
      | POST   | resets at first    | 100    | refused with 502 "reset-before-answer" "may-have-run" after 1 attempt |
      | PUT    | resets at first    | 100    | answered after 2 attempts            |
      | PUT    | cuts at first      | 100    | answered after 2 attempts            |
      | GET    | is busy at first   | 0      | answered after 2 attempts            |
      | GET    | always refuses     | 0      | refused with 503 "runner-refused" "not-run" after 3 attempts |
      | GET    | resets, then refuses | 0    | refused with 502 "runner-refused" "may-have-run" after 3 attempts |

  Scenario: Without successes there is no retry
    Guards against retries that aren't paid from the budget.
    Given an entry host without a retry budget whose runner refuses at first
    When a "POST" of 100 bytes comes from a caller
    Then the request is refused with 503 "runner-refused" "not-run" after 1 attempt

  Scenario: An order that is repeated after its answer
    Guards against an order that runs again though its answer is known.
    Given an entry host with a full retry budget whose runner answers
    When an order "o-1" of 100 bytes comes from a caller
    Then the order is answered 200 "mine" with verdict "none" and has run 1 times
    When an order "o-1" of 100 bytes comes from a caller
    Then the order is answered 200 "mine" with verdict "ran" and has run 1 times
    When an order "o-1" of 101 bytes comes from a caller
    Then the order is answered 422 "digest-mismatch" with verdict "not-run" and has run 1 times

  Scenario: An order whose runner broke off
    Guards against running an order again that may have run.
    Given an entry host with a full retry budget whose runner resets at first
    When an order "o-1" of 100 bytes comes from a caller
    Then the order is answered 502 "reset-before-answer" with verdict "may-have-run" and has run 1 times
    When an order "o-1" of 100 bytes comes from a caller
    Then the order is answered 409 "request-may-have-run" with verdict "may-have-run" and has run 1 times

  Scenario: An order that was refused before it ran
    Guards against losing an order because its id was used for a refusal.
    Given an entry host without a retry budget whose runner refuses at first
    When an order "o-1" of 100 bytes comes from a caller
    Then the order is answered 503 "runner-refused" with verdict "not-run" and has run 1 times
    When an order "o-1" of 100 bytes comes from a caller
    Then the order is answered 200 "mine" with verdict "none" and has run 2 times

  Scenario: A key that is withdrawn while a claim waits
    Guards against work for a withdrawn key after its claim was decided.
    Given an entry host with a full retry budget whose runner answers
    When an order "o-1" comes, its key is withdrawn, and then its claim is decided
    Then the order is answered 401 "unauthorized" with verdict "not-run" and has run 0 times

  Scenario: Random faults of runners
    Guards against crossed or cut answers, a false "not run", and a second
    run, by comparing what callers are told with what the runners record.
    Given an entry host with a full retry budget whose runners misbehave at random
    When 8 callers send 60 random requests each, some of them repeated
    Then each answer is whole and belongs to its request
    And no request that is told "not-run" has run
    And no request that isn't idempotent has run twice
    And no slot is in use after 2 seconds
