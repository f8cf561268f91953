Feature: The verdict on each failure at a runner

  Each row guards against a failure that is reported with the wrong verdict:
  after a false "not run" a request would run twice, and after a false "may
  have run" it would be lost.

  Scenario Outline: A runner's <behaviour> gives <verdict>
    Given a runner with the behaviour "<behaviour>"
    When a "POST" with a body is sent to it
    Then the failure is "<reason>" with verdict "<verdict>"
    And the runner's record agrees with the verdict

    Examples:
      | behaviour                   | reason                | verdict      |
      | refused connection          | connection-refused    | not-run      |
      | full listening queue        | connect-time-out      | not-run      |
      | 503 with the not-run header | runner-refused        | not-run      |
      | plain 503                   | runner-unavailable    | may-have-run |
      | reset before the answer     | reset-before-answer   | may-have-run |
      | close before the answer     | reset-before-answer   | may-have-run |
      | half a head                 | half-answer           | may-have-run |
      | half a body                 | half-answer           | may-have-run |
      | reset inside the body       | half-answer           | may-have-run |
      | chunks without an end       | half-answer           | may-have-run |
      | malformed chunk             | malformed-answer      | may-have-run |
      | malformed head              | malformed-answer      | may-have-run |
      | body without a length       | answer-without-length | may-have-run |
      | the tag of another request  | unasked-answer        | may-have-run |
      | silence                     | time-out              | may-have-run |
      | silence inside the body     | time-out              | may-have-run |

  Scenario Outline: A runner's <behaviour> is a complete answer
    Given a runner with the behaviour "<behaviour>"
    When a "POST" with a body is sent to it
    Then the complete answer is "mine"
    When a "GET" is sent to it
    Then the complete answer is "mine"
    And the runner has seen <connections> connections

    Examples:
      | behaviour                    | connections |
      | good answer                  | 1           |
      | answer after 100             | 1           |
      | extra bytes after the answer | 2           |
      | late extra bytes             | 2           |
      | early answer                 | 2           |
      | answers without a tag        | 2           |
      | answer, then close           | 2           |
      | HTTP/1.0 answer              | 2           |

  Scenario: A 408 that crosses with a request on a used connection
    Guards against taking a server's idle timeout for the answer to the
    next request.
    Given a runner with the behaviour "408 on reuse"
    When a "GET" is sent to it
    Then the complete answer is "mine"
    When a "GET" is sent to it
    Then the failure is "unasked-answer" with verdict "may-have-run"

  Scenario: A non-idempotent request uses a new connection
    Guards against a connection that the runner has just closed, where
    a request that the runner never saw would get "may have run".
    Given a runner with the behaviour "reset on reuse"
    When a "GET" is sent to it
    Then the complete answer is "mine"
    When a "POST" without a body is sent to it
    Then the complete answer is "mine"
    And the runner has seen 2 connections

  Scenario: A connection that is closed before the request is sent
    Guards against the verdict "may have run" where nothing was written.
    Given a runner with the behaviour "good answer"
    When a request is about to use a connection that was closed
    Then the failure is "closed-before-request" with verdict "not-run"

  Scenario: A process that stands still while a connection is opened
    Guards against a request that is sent long after it was admitted, for
    example after its key was withdrawn.
    Given a runner with the behaviour "good answer"
    When the process stands still for 2.1 s while a request's connection opens
    Then the failure is "connect-time-out" with verdict "not-run"
    And the runner's record agrees with the verdict

  Scenario: A request body that ends prematurely
    Guards against a truncated body that a runner takes for complete.
    Given a runner with the behaviour "wait for the body"
    When a "POST" whose body stops half way is sent to it
    Then the failure is "request-cut" with verdict "may-have-run"
    And the runner has received less than the body

  Scenario: Connections per runner are bounded
    Guards against more than 60 connections over 6 entry hosts.
    Given a runner with the behaviour "silence"
    When 12 "POST" requests are sent to it at the same time
    Then 2 of them fail with "no-connection" and verdict "not-run"
    And the runner has seen 10 connections

  Scenario: The callers' page lists every reason with its verdict
    Guards against a page that states another verdict than the code gives.
    Then the table of verdicts in "docs/callers.md" equals the code's
