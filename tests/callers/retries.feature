Feature: Retries at another runner and repeats with an Idempotency-Key

  Scenario Outline: A <method> that a runner <behaviour> is <outcome>
    Guards against a request that runs twice, and against one that is
    refused although a retry is safe.
    Given an entry host with a full retry budget whose runner <behaviour>
    When a "<method>" request of <size> bytes arrives
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

  Scenario: A request isn't retried without a retry budget
    Guards against retries that add to an overload.
    Given an entry host without a retry budget whose runner refuses at first
    When a "POST" request of 100 bytes arrives
    Then the request is refused with 503 "runner-refused" "not-run" after 1 attempt

  Scenario: A keyed request is repeated after its answer
    Guards against a request that runs again although its answer is known.
    Given an entry host with a full retry budget whose runner answers
    When a keyed request "o-1" of 100 bytes arrives
    Then the keyed request is answered 200 "mine" with verdict "none" and has run 1 times
    When a keyed request "o-1" of 100 bytes arrives
    Then the keyed request is answered 200 "mine" with verdict "ran" and has run 1 times
    When a keyed request "o-1" of 101 bytes arrives
    Then the keyed request is answered 422 "digest-mismatch" with verdict "not-run" and has run 1 times

  Scenario: A keyed request is repeated after its runner reset
    Guards against a second run of a request that may have run.
    Given an entry host with a full retry budget whose runner resets at first
    When a keyed request "o-1" of 100 bytes arrives
    Then the keyed request is answered 502 "reset-before-answer" with verdict "may-have-run" and has run 1 times
    When a keyed request "o-1" of 100 bytes arrives
    Then the keyed request is answered 409 "request-may-have-run" with verdict "may-have-run" and has run 1 times

  Scenario: A keyed request is repeated after it was refused
    Guards against refusing a request that hasn't run because its id was
    used before.
    Given an entry host without a retry budget whose runner refuses at first
    When a keyed request "o-1" of 100 bytes arrives
    Then the keyed request is answered 503 "runner-refused" with verdict "not-run" and has run 1 times
    When a keyed request "o-1" of 100 bytes arrives
    Then the keyed request is answered 200 "mine" with verdict "none" and has run 2 times

  Scenario: An API key is withdrawn while a claim is pending
    Guards against running a request for an API key that was withdrawn
    before the claim was decided.
    Given an entry host with a full retry budget whose runner answers
    When a keyed request "o-1" arrives, its API key is withdrawn, and then its claim is decided
    Then the keyed request is answered 401 "unauthorized" with verdict "not-run" and has run 0 times

  Scenario: Random faults of runners
    Guards against wrong or truncated answers, a false "not run", and a
    second run. Compares the answers to callers with the runs that the
    runners record.
    Given an entry host with a full retry budget whose runners misbehave at random
    When 8 callers send 60 random requests each, some of them repeated
    Then each answer is whole and belongs to its request
    And no request that is answered "not-run" has run
    And no request that isn't idempotent has run twice
    And no slot is in use after 2 seconds
