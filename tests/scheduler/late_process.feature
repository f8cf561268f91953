Feature: A leader whose process has too little processor time
  Each callback of the leading host costs processor time in these scenarios, and
  what comes due meanwhile waits for its turn.

  Scenario: Every end is acknowledged although the leader is late
    Guards against ends that runners list for ever: the leader's pause after
    its last report ended before the ends were stored.
    Given a leader whose callbacks take 4 ms each, and 24 runners
    When 60 jobs of 8 tasks of 1.0 s are submitted
    And 20.0 s pass
    Then every task ended once and its end was acknowledged

  Scenario: A leader logs when starts begin to be put off, and when that ends
    Given a leader whose callbacks take 4 ms each, and 24 runners
    When 60 jobs of 8 tasks of 1.0 s are submitted
    And 20.0 s pass
    Then it logged that starts were put off, with a limit and their number
    And it logged as often that they no longer were

  Scenario Outline: One host leads, and ends are handled, while many starts wait
    Plays a burst that asks for 960 starts.
    Given a leader whose callbacks take 3 ms each, and 24 runners
    And the random numbers of seed <seed>
    When 120 jobs of 8 tasks of 1.0 s are submitted
    And 25.0 s pass
    Then every task ended once and its end was acknowledged
    And each end was acknowledged within 4.0 s

    Examples:
      | seed |
      | 4    |
      | 7    |
      | 28   |
