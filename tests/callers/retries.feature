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
