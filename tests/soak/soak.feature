Feature: Real entry hosts keep their promises under faults

  Scenario Outline: Hosts under kills, pauses, cut links and crashed runners
    When the soak runs with seed <seed> for <seconds> s
    Then it reports no violation and tasks that were done

    # Seed 2: ends that nobody acknowledged were lost with their runner, and
    # the soak took the tasks' next runs for doubled. Seed 49: a runner began
    # late what it was told before a cancel, and the soak blamed the leader.
    Examples:
      | seed | seconds |
      | 1    | 8       |
      | 2    | 12      |
      | 49   | 12      |
