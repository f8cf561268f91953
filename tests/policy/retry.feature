Feature: Retries of failed requests

  Scenario Outline: <case>
    Guards against a request that runs twice, a retry that can't help its
    caller any more, and a retry storm.
    Given an attempt that failed as "<reason>" and is <kind>
    And it is attempt <number> with <left_s> s to the deadline and <budget> retries in the budget
    Then the retry decision is "<decision>"

    Examples:
      | case                           | reason             | kind           | number | left_s | budget | decision       |
      | not run, not idempotent        | connection-refused | plain          | 1      | 5      | 1      | granted        |
      | may have run, not idempotent   | half-answer        | plain          | 1      | 5      | 1      | may-have-run   |
      | may have run, idempotent       | half-answer        | idempotent     | 1      | 5      | 1      | granted        |
      | its body wasn't kept           | runner-refused     | not repeatable | 1      | 5      | 1      | body-not-kept  |
      | too many attempts              | connection-refused | plain          | 3      | 5      | 1      | attempts-used  |
      | the deadline is too near       | connection-refused | plain          | 1      | 0.01   | 1      | deadline       |
      | not run, no budget left        | connection-refused | plain          | 1      | 5      | 0      | budget-used    |

  Scenario: The delay is random and grows with each attempt
    Guards against requests that fail together and are retried together.
    Then the delay of attempt 1 is spread from 0 to 25 ms
    And the delay of attempt 2 is spread from 0 to 50 ms

  Scenario: The budget is a tenth of recent successes
    Guards against retries that are allowed because of old successes.
    Given a retry budget with 100 successes at second 0
    Then 10 retries are left at second 5
    When 4 retries are made at second 5
    Then 6 retries are left at second 9
    And -4 retries are left at second 10
    And 0 retries are left at second 15
