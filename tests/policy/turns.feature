Feature: Busy periods that are foreseen

  Scenario Outline: Hosts are there when a busy period begins
    Guards against late jobs in the first seconds of each busy period.
    Given queues that are busy in turn for <length> s, <rounds> rounds
    When their pools are sized with and without a forecast
    Then from round 2 on <gain> more of the first 2 seconds' jobs end in time
    And the host-seconds are at most <ratio> of those without
    And all in all <share> of what knowing the turns would allow is reached

    Examples:
      | length | rounds | gain | ratio | share |
      | 4.5    | 2      | 0.08 | 1.08  | 0.85  |
      | 4.5    | 4      | 0.15 | 1.05  | 0.9   |
      | 9      | 2      | 0.1  | 1.08  | 0.95  |

  Scenario Outline: A forecast that fails costs little
    Given queues that are <load>
    When their pools are sized with and without a forecast
    Then the jobs end in time as often as without, but for 0.01
    And the host-seconds are at most <ratio> of those without

    Examples:
      | load                                       | ratio |
      | busy all the time                          | 1.01  |
      | busy at random                             | 1.1   |
      | busy in turn, once 2 s early               | 1.1   |
      | busy in turn, with another length later on | 1.1   |
      | busy in turn, and then not any more        | 1.1   |
