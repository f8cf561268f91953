Feature: Decoding of the platform's rows, settings and messages
  A malformed row is rejected; a malformed entry of a runner's lists is skipped.

  Scenario: A runner's row is decoded
    Given the row of a runner
    Then it describes a runner with 16000 cpu in rack "r1-3" started at 12.5 s

  Scenario Outline: A runner's row with an invalid field is rejected
    Given the row of a runner
    When its "<field>" is <value>
    Then it is rejected

    Examples:
      | field    | value                 |
      | state    | "resting"             |
      | capacity | {"cpu": 16000}        |
      | capacity | null                  |
      | labels   | "a"                   |
      | address  | 7                     |
      | capacity | {"cpu": 1e30, "memMb": 9, "gpu": 0}  |
      | capacity | {"cpu": 99999999999999999999999999, "memMb": 9, "gpu": 0} |
      | capacity | {"cpu": 9, "memMb": 9, "gpu": -1}    |

  Scenario: A runner whose id can't be the value of a header is rejected
    Given the row of a runner
    When its id ends the line of a header
    Then it is rejected

  Scenario: Pages of the list of hosts that refer to each other end
    Guards against a list that is read for ever.
    Then a list of hosts whose second page names the first one fails

  Scenario: A host on two pages of the list is listed once, as it was read last
    Then a host that is up on page 1 and moving on page 2 is listed as moving

  Scenario: A rejected page of a long list is read again alone
    Guards against a list that begins anew at each limit on the rate of calls.
    Then a page that is rejected with 429 is read again after a pause

  Scenario Outline: A queue's advisor may be malformed
    Guards against a queue that starts tasks without the advisor's permission.
    Then a queue with advisor <advisor> has the times <times>

    Examples:
      | advisor                                              | times            |
      | {"decideMs": 150, "perItemMs": 15, "validMs": 3000}  | [0.15, 0.015, 3] |
      | {"decideMs": -5}                                     | [0, 0, 0]        |
      | {"decideMs": "fast", "validMs": 3000}                | [0, 0, 0]        |
      | true                                                 | [0, 0, 0]        |

  Scenario: A runner's row that isn't valid JSON is rejected
    Given the row of a runner
    When it is truncated
    Then it is rejected

  Scenario: Settings without the store's address are rejected
    When settings without "platform" are loaded
    Then they are rejected with an error that mentions "platform"

  Scenario: Settings of an entry host are decoded
    When settings in the platform's format are loaded
    Then the host has 1.074 processors, a longest lease of 10.0 s and an advisor

  Scenario: A job with an unknown field is accepted, one with invalid phases isn't
    Then a body {"phases": [{"count": 2, "cpu": 10, "new": 1}]} is decoded as a job of 2 tasks
    And a body {"spec": "x"} is rejected
    And a body {"phases": [{"count": 1, "after": [0]}]} is rejected
    And a body {"phases": [{"count": 0}]} is rejected

  Scenario: Malformed rows in a runner's lists are skipped
    When a runner lists running [["bad", 1, "", 5], ["0000000000000001.0.0.2", 1, "", 100, 0]]
    And ended [[3, "0000000000000001.0.0.1", 1, "unheard", ""], [4, "x", 1, "done", ""]]
    Then 1 running and 0 ended tasks are decoded, up to number 4

  Scenario Outline: A request that can't be stored or run is rejected
    Then the body <body> is rejected

    Examples:
      | body                                                            |
      | {"spec": "\xff", "phases": [{"count": 1}]}                      |
      | {"phases": [{"count": 1, "x": 20000 nested lists}]}             |
      | {"phases": [{"count": 2001}]}                                   |
      | {"phases": [{"count": 1000000000000}]}                          |
      | {"phases": [{"count": 1}], "repeats": 1000000000000}            |
      | {"phases": [{"count": 40}, {"count": 1}], "repeats": 50}        |
      | {"phases": [{"count": 1, "cpu": 1000000000000000000000}]}       |
      | {"phases": [{"count": 1, "estimateMs": -1}]}                    |
      | {"phases": [{"count": 1, "estimateMs": 1e300}]}                 |
      | {"phases": [{"count": 1, "estimateMs": NaN}]}                   |
      | {"phases": [{"count": 1, "targetMs": 1e300}]}                   |
      | {"phases": [{"count": 1}], "repeats": 2, "startAtMs": 1e300}    |
      | {"phases": [{"count": 1}], "repeats": 2, "intervalMs": -1e300}  |
      | {"phases": [{"count": 1}, {"count": 1, "after": [1]}]}          |
      | {"phases": [{"count": 1}, {"count": 1, "after": [-1]}]}         |
      | {"phases": []}                                                  |
      | {"phases": 1}                                                   |
      | []                                                              |

  Scenario: Any body is rejected or describes a job that can be stored
    Then any body is rejected, or its job can be stored and read again

  Scenario: Any settings are loaded or rejected
    Settings may change to anything before SIGHUP.
    Then any settings of a host are loaded, or rejected as invalid

  Scenario: Any row is decoded or rejected
    Then any bytes as a row of any table are decoded or rejected

  Scenario: Any report of a runner gives runs and ends of the right types
    Then any report of a runner is rejected or has values of the right types

  Scenario Outline: An address that can't be connected to is rejected
    Given the row of a runner
    When its "address" is <value>
    Then it is rejected

    Examples:
      | value             |
      | "10.0.0.1"        |
      | "10.0.0.1:0"      |
      | "10.0.0.1:65536"  |
      | "10.0.0.1:²"      |
      | "10.0.0.1: 80"    |
      | "runner.test:80"  |
      | ":80"             |

  Scenario: Malformed advice on a runner leaves that on the others
    Then advice [["i-1", "a"], 5, ["i-2"], [3, "c"], ["i-4", "d"]] allows i-1 and i-4
