Feature: Valid and invalid requests of callers

  Scenario Outline: <input> is refused with <status>
    Guards against invalid input that reaches a runner, is answered
    without a problem document, or is answered only after its body was
    read.
    Given an entry host
    When a caller sends <input>
    Then the answer is a problem <status> "<problem>" with verdict "not-run"
    And no runner has seen a request
    And no log line holds a key or a traceback

    Examples:
      | input                        | status | problem           |
      | no key                       | 401    | unauthorized      |
      | a wrong key                  | 401    | unauthorized      |
      | two keys                     | 401    | unauthorized      |
      | the key of another team      | 403    | forbidden         |
      | an unknown queue             | 404    | unknown-queue     |
      | a path outside every queue   | 404    | unknown-queue     |
      | a declared body over the limit | 413  | body-too-large    |
      | an over-limit expecting body | 413    | body-too-large    |
      | a header of 20 KB            | 431    | headers-too-large |
      | 600 headers                  | 431    | headers-too-large |
      | 20 KB of small headers       | 431    | headers-too-large |
      | input that isn't HTTP        | 400    | malformed         |
      | a header without a colon     | 400    | malformed         |
      | a space before the colon     | 400    | malformed         |
      | two lengths                  | 400    | malformed         |
      | a length and chunks          | 400    | malformed         |
      | a negative length            | 400    | malformed         |
      | an unknown coding            | 400    | malformed         |
      | no host                      | 400    | malformed         |
      | an absolute target           | 400    | malformed         |
      | a deadline that is no number | 400    | malformed         |
      | a request id over the limit  | 400    | malformed         |
      | a request id without a key   | 400    | malformed         |
      | a deadline of 0              | 504    | deadline-passed   |

  Scenario Outline: <input> is passed on and answered whole
    Guards against valid requests that are refused, or whose body or
    answer is cut off or changed.
    Given an entry host
    When a caller sends <input>
    Then the answer is whole with status <status> and body "<body>"
    And the runner has received the body whole

    Examples:
      | input                        | status | body |
      | a small body                 | 200    | mine |
      | a chunked body               | 200    | mine |
      | a body of 150 KB             | 200    | mine |
      | a body that waits for 100 Continue | 200 | mine |
      | a HEAD                       | 200    |      |
      | a request answered with 204  | 204    |      |
      | a request answered with 304  | 304    |      |
      | a chunked answer             | 200    | mine |
      | a plain 503 of the runner    | 503    |      |

  Scenario: Pipelined requests are answered in their order
    Guards against answers to the wrong request on one connection.
    Given an entry host
    When a caller sends 20 pipelined requests of three kinds
    Then each answer belongs to its request

  Scenario: A chunked body grows over the limit
    Guards against a body without a length that the limit never stops.
    Given an entry host
    When a caller streams chunks without end
    Then the answer is a problem 413 "body-too-large" with verdict "may-have-run"
    And no slot is in use after 1 second

  Scenario: A malformed chunk in the middle of a body
    Guards against a truncated body that looks whole to a runner.
    Given an entry host
    When a caller sends a malformed chunk after a good one
    Then the answer is a problem 400 "malformed" with verdict "may-have-run"
    And the runner has received the end of the stream inside the body

  Scenario Outline: A runner's answer is cut off <where> its body
    Guards against a truncated answer that looks whole to the caller.
    Given an entry host whose runner cuts off its answer <where> the body
    When a caller sends a small body
    Then <outcome>

    Examples:
      | where  | outcome                                                        |
      | before | the answer is a problem 502 "half-answer" with verdict "may-have-run" |
      | inside | the connection is aborted inside the answer                    |

  Scenario: The deadline passes while the runner works
    Guards against a slot that is reused while its request still runs.
    Given an entry host whose runner answers after 600 ms
    When a caller sends a request with a deadline of 200 ms
    Then the answer is a problem 504 "deadline-passed" with verdict "may-have-run"
    And the answer came within 400 ms
    And 1 slot is in use
    And no slot is in use after 1 second
    And the runner could send its answer whole

  Scenario: The caller leaves while the runner works
    Guards against a slot that is reused while its request still runs,
    although the caller has disconnected.
    Given an entry host whose runner answers after 600 ms
    When a caller disconnects 200 ms after it sent a request
    Then 1 slot is in use
    And no slot is in use after 1 second
    And the runner could send its answer whole

  Scenario: The caller disconnects in the middle of a large answer
    Guards against a runner whose answer is cut off, or blocked because
    nobody reads it.
    Given an entry host whose runner answers with 64 MB
    When a caller disconnects 200 ms after it sent a request
    Then no slot is in use after 5 seconds
    And the runner could send its answer whole

  Scenario: A runner never answers
    Guards against a slot that is never freed.
    Given an entry host whose runner never answers
    When a caller sends a request with a deadline of 200 ms
    Then the answer is a problem 504 "deadline-passed" with verdict "may-have-run"
    And no slot is in use after 2 seconds

  Scenario: A head that arrives too slowly is refused
    Guards against senders that keep a connection open by sending one
    byte at a time.
    Given an entry host with a head timeout of 300 ms
    When a caller sends its head one byte at a time
    Then the answer is a problem 408 "head-too-slow" with verdict "not-run"

  Scenario: A body that stops is cut off
    Guards against slots that stay in use because a sender stopped in
    the middle of its body.
    Given an entry host with a body timeout of 300 ms
    When a caller sends half a body
    Then the answer is a problem 408 "body-too-slow" with verdict "may-have-run"
    And no slot is in use after 1 second

  Scenario: A large answer to a slow reader needs little memory
    Guards against buffering an answer whose reader is slow.
    Given an entry host whose runner answers with 64 MB
    When a caller reads the answer slowly
    Then the answer has 64 MB
    And the process has grown by less than 16 MB

  Scenario: A large body to a slow runner needs little memory
    Guards against buffering a body whose runner is slow.
    Given an entry host whose runner reads 64 MB slowly
    When a caller sends 64 MB
    Then the answer is whole with status 200 and body "mine"
    And the process has grown by less than 16 MB

  Scenario: Random malformed requests are refused
    Guards against input that hangs or crashes the server, or reaches a
    runner.
    Given an entry host
    Then 200 random inputs from a fixed seed are each refused or answered
    And no log line holds a key or a traceback
