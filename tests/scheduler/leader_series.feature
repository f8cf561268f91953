Feature: Series of leader changes break no rule

  Scenario: A superseded attempt occupies its runner until it has stopped
    Guards against starts over the capacity of a runner that doesn't guard it.
    Given 2 runners that start whatever they are told to
    When job "00000000000000b1" of 1 tasks of 32000 millicores is submitted
    And 2.0 s pass
    And the runner with tasks can't be reached for 7.5 s
    And 6.5 s pass
    Then task "00000000000000b1.0.0.0" has started 2 times
    When job "00000000000000b2" of 4 tasks of 16000 millicores is submitted
    And 12.0 s pass
    Then job "00000000000000b2" is "completed"
    And job "00000000000000b1" is "completed"
    And no runner was over its capacity
