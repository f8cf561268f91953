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

  Scenario: A silent leader's leases count in the term after the next one too
    Guards against a leader that was told to stop just after it had taken over.
    Given a site with service "press" on 8 hosts and queue "fit"
    And hosts stay in their pools
    And takeovers aren't spread
    And every fourth task runs 4.0 s, the others 30.0 s
    When job "00000000000000b3" of 20 tasks is submitted
    And 2.0 s pass
    And only the leader can reach a runner with tasks
    And the leader reaches neither the store nor other hosts
    And the host that takes over is told to stop at once
    And 9.0 s pass
    Then no task ran twice

  Scenario Outline: Leader changes in series beside other faults
    Guards against tasks that run twice, starts beyond a runner's capacity, host
    commands of two leaders, and jobs that don't complete.
    When the series of leader changes of seed <seed> is run
    Then no rule is broken

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
      | 9    |
      | 10   |
