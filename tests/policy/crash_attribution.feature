Feature: Which tasks are at fault when a runner crashes

  Scenario Outline: The cause of a crash
    Given 40 runners, 8 of them in pool "p"
    And runner "r0" of pool "p" crashes at 10.0 s while jobs "a,b" start
    And <others>
    Then the cause is "<cause>" for job "a"

    Examples:
      | others                                                           | cause     |
      | no other runner crashes                                          | task      |
      | runner "r1" of pool "p" crashes at 10.2 s while jobs "c" start   | task      |
      | runner "r1" of pool "p" crashes at 10.04 s while jobs "c" start  | uncertain |
      | runner "r1" of pool "p" crashes at 10.04 s while jobs "" start   | uncertain |
      | runner "r1" of pool "q" crashes at 10.04 s while jobs "c" start  | task      |
      | runner "r1" of pool "p" crashes at 10.04 s while jobs "a,c" start | task      |
      | runner "r1" of pool "p" crashes at 10.04 s while jobs "b" start  | uncertain |
      | runner "r1" of pool "q" crashes at 10.04 s while jobs "" start   | uncertain |
      | idle runner "r1" of pool "q" crashes between 9.5 s and 10.5 s    | uncertain |
      | 9 other runners of pool "q" crash at 10.0 s while jobs "c" start | outage    |
      | 9 other runners of pool "q" crash at 10.0 s while jobs "a" start | task      |
      | 2 other runners of pool "p" crash at 10.0 s while jobs "c" start | uncertain |
      | 1 suspected job crashes runner "r1" at 10.0 s                    | task      |
      | runner "r1" of pool "p" falls silent between 8.0 s and 12.0 s    | task      |

  Scenario Outline: The cause of a crash in a large pool
    Guards against tasks that excuse each other where many crash runners.
    Given 200 runners, 40 of them in pool "p"
    And runner "r0" of pool "p" crashes at 10.0 s while jobs "a" start
    And <others>
    Then the cause is "<cause>" for job "a"

    Examples:
      | others                                                           | cause     |
      | 3 other runners of pool "p" crash at 10.0 s while jobs "c" start | task      |
      | 4 other runners of pool "p" crash at 10.0 s while jobs "c" start | uncertain |
      | 40 other runners of pool "q" crash at 10.0 s while jobs "c" start | task     |
      | 49 other runners of pool "q" crash at 10.0 s while jobs "c" start | outage   |

  Scenario Outline: The cause of a crash during a trial
    Guards against trials that stay undecided while others crash runners too.
    Given 40 runners, 8 of them in pool "p"
    And runner "r0" of pool "p" crashes at 10.0 s while jobs "a" start
    And <others>
    Then the cause is "<cause>" for job "a" on trial

    Examples:
      | others                                                           | cause     |
      | runner "r1" of pool "p" crashes at 10.04 s while jobs "c" start  | task      |
      | 2 other runners of pool "p" crash at 10.0 s while jobs "c" start | uncertain |
      | 9 other runners of pool "q" crash at 10.0 s while jobs "c" start | outage    |

  Scenario Outline: When a task is given up
    Given a task under which runners crash: <crashes>
    Then it is <outcome>

    Examples:
      | crashes                                                | outcome         |
      | task alone                                             | not given up    |
      | task alone, task alone                                 | not given up    |
      | task shared, task shared, task alone                   | given up        |
      | task shared, task shared, task shared                  | not given up    |
      | task shared, task shared, task shared, task shared     | given up        |
      | task alone, task alone, uncertain                      | not given up    |
      | task alone, task alone, uncertain, task alone          | given up        |
      | task shared, uncertain, uncertain, task alone          | given up        |
      | uncertain, uncertain, uncertain, task shared           | not given up    |
      | uncertain, uncertain, uncertain, task alone            | given up        |
      | uncertain, uncertain, uncertain, uncertain             | not given up    |
      | uncertain, uncertain, uncertain, uncertain, task alone | given up        |
      | uncertain, uncertain, uncertain, uncertain, uncertain  | given up        |
      | outage, outage, outage, outage, outage                 | not given up    |
      | outage, task alone, outage, task alone                 | not given up    |
      | task alone, task alone, task alone taken back          | not given up    |

  Scenario Outline: How a suspected task starts again
    Given a task under which runners crash: <crashes>
    Then nothing else starts beside it for <time> s

    Examples:
      | crashes                             | time |
      | outage                              | 0    |
      | uncertain                           | 0.1  |
      | task shared                         | 0.1  |
      | task shared after 0.2 s             | 0    |
      | task shared after 0.2 s, task alone | 0.25 |
      | uncertain, uncertain, uncertain     | 0.25 |

  Scenario: Half of a pool stays free of suspected tasks
    Given 4 runners of a pool without recent starts
    When suspected tasks of jobs "a,b,c" look for runners
    Then jobs "a,b" have found different runners
    And other tasks may start on 2 runners

  Scenario: Tasks of one suspected job start on one runner
    Given 4 runners of a pool without recent starts
    When suspected tasks of jobs "a,a" look for runners
    Then other tasks may start on 3 runners

  Scenario: A pool of one runner tries suspected tasks too
    Given 1 runners of a pool without recent starts
    When suspected tasks of jobs "a" look for runners
    Then other tasks may start on 0 runners

  Scenario: A suspected task doesn't start beside a recent start
    Given 2 runners of a pool with starts 0.05 s ago
    When suspected tasks of jobs "a" look for runners
    Then other tasks may start on 2 runners

  Scenario: A suspected task passes over a runner that may have no more of its step
    Guards against a trial that waits although another runner may take the task.
    Given 2 runners of a pool without recent starts
    When a suspected task is placed whose step has one task a runner and one on the emptiest
    Then it is placed on the other runner
