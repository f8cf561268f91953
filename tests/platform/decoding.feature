Feature: What the platform writes is decoded once
  A row that can't be read, or that lacks a field, names nothing usable.

  Scenario: A runner's entry
    Given the entry of a runner
    Then it names a runner with 16000 cpu in rack "r1-3" since 12.5 s

  Scenario Outline: An entry that names no runner
    Given the entry of a runner
    When its "<field>" is <value>
    Then it names no runner

    Examples:
      | field    | value                 |
      | state    | "resting"             |
      | capacity | {"cpu": 16000}        |
      | capacity | null                  |
      | labels   | "a"                   |
      | address  | 7                     |

  Scenario: An entry whose bytes are no JSON names no runner
    Given the entry of a runner
    When its bytes are cut
    Then it names no runner

  Scenario: The address of a host whose settings lack the store is refused
    When settings without "platform" are read
    Then they are refused with "platform"

  Scenario: Settings of an entry host
    When settings as the platform writes them are read
    Then the host has 1.074 processors, a lease of 10.0 s at most and an advisor

  Scenario: A job's body with an unknown field is read, one without phases isn't
    Then a body {"phases": [{"count": 2, "cpu": 10, "new": 1}]} is a job of 2 tasks
    And a body {"spec": "x"} is refused
    And a body {"phases": [{"count": 1, "after": [0]}]} is refused
    And a body {"phases": [{"count": 0}]} is refused

  Scenario: Malformed rows in a runner's lists are passed over
    When a runner lists running [["bad", 1, "", 5], ["0000000000000001.0.0.2", 1, "", 100, 0]]
    And ended [[3, "0000000000000001.0.0.1", 1, "unheard", ""], [4, "x", 1, "done", ""]]
    Then 1 run and 0 ends are read, up to number 4
