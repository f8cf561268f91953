Feature: Runners that restart under their id, seen late
  An extension without a response that was sent before the restart may arrive
  15 s after its sending, and the lease may last 10.4 s from then. So the tasks
  of a restarted runner that fell silent wait for up to 25.4 s.

  Background:
    Given a site with service "press" on 8 hosts and queue "fit"
    And hosts stay in their pools

  Scenario: Tasks that a restarted runner accepted before its new entry go on
    Guards against a second run of a task that runs on the new incarnation.
    Given tasks that run 20.0 s
    When an idle runner restarts, and its entry follows 1.5 s later
    And 0.2 s pass
    And job "00000000000000d1" of 120 tasks is submitted
    And 4.0 s pass
    Then the restarted runner has started tasks
    And every task of job "00000000000000d1" runs
    And no task ran twice
    And no task was stopped

  Scenario: Tasks of a crashed incarnation restart soon after its new entry
    Guards against a wait for the time-out of the poll that the crash broke.
    Given tasks that run 20.0 s
    When job "00000000000000d2" of 20 tasks is submitted
    And 2.0 s pass
    And a busy runner restarts, and its entry follows 0.1 s later
    And 0.8 s pass
    Then every task of job "00000000000000d2" runs
    And no task ran twice

  Scenario: A report shows a restart while its entry is still missing
    Given tasks that run 20.0 s
    When job "00000000000000d3" of 20 tasks is submitted
    And 2.0 s pass
    And a busy runner restarts, and its entry follows 20.0 s later
    And 3.5 s pass
    Then every task of job "00000000000000d3" runs
    And no task ran twice

  Scenario: A late entry of a previous incarnation has no effect
    Guards against an incarnation that is mistaken for one before it.
    Given tasks that run 20.0 s
    When an idle runner restarts, and its entry follows 6.0 s later
    And 0.2 s pass
    And job "00000000000000d4" of 120 tasks is submitted
    And 2.0 s pass
    And the previous incarnation's entry arrives again
    And the restarted runner can't be reached
    And 3.5 s pass
    Then no task ran twice
    When the restarted runner can be reached again
    And 1.0 s pass
    Then every task of job "00000000000000d4" runs
    And no task was stopped
    And 1 restart was noticed

  Scenario: A restarted runner gets no more tasks before its new entry
    Guards against starts that exceed the capacity of another kind of runner.
    Given tasks that run 0.3 s
    When an idle runner restarts, and its entry follows 2.0 s later
    And job "00000000000000d5" of 120 tasks is submitted
    And 1.0 s pass
    Given tasks that run 20.0 s
    When job "00000000000000d6" of 100 tasks is submitted
    And 0.5 s pass
    Then the restarted runner has no tasks
    When job "00000000000000d7" of 28 tasks is submitted
    And 2.0 s pass
    Then the restarted runner has started tasks
    And no task ran twice

  Scenario: The first poll of a restarted runner forgets no ends
    Guards against an end that counts as acknowledged before it was read.
    Given tasks that run 0.02 s
    When job "00000000000000d8" of 120 tasks is submitted
    And 2.03 s pass
    And an idle runner restarts, and its entry follows 3.0 s later
    And the restarted runner's next 16 responses to commands are lost
    And job "00000000000000d9" of 120 tasks is submitted
    And 8.0 s pass
    Then job "00000000000000d9" is "completed"
    And no task ran twice, but those whose end a crash lost

  Scenario: A repeated acknowledgement forgets no ends of a new incarnation
    Guards against an acknowledgement that the crash kept from its runner.
    Given tasks that run 0.3 s
    When job "00000000000000da" of 120 tasks is submitted
    And a runner whose ends were just read restarts after 0.1 s, and its entry follows 6.0 s later
    And 0.2 s pass
    And job "00000000000000db" of 120 tasks is submitted
    And 8.0 s pass
    Then job "00000000000000db" is "completed"
    And no task ran twice, but those whose end a crash lost

  Scenario: A lease by the previous incarnation's clock is waited for
    Guards against a lease that is as long as the runner grants it.
    Given tasks that run 40.0 s
    When 12.0 s pass
    And an idle runner restarts, and its entry follows 1.5 s later
    And job "00000000000000dc" of 100 tasks is submitted
    And 0.1 s pass
    Then the restarted runner has started tasks
    When the restarted runner can't be reached
    And 27.0 s pass
    Then every task of job "00000000000000dc" runs
    And no task ran twice

  Scenario: A published lease by the previous incarnation's clock is waited for
    Given tasks that run 40.0 s
    When 12.0 s pass
    And an idle runner restarts, and its entry follows 1.5 s later
    And job "00000000000000dd" of 100 tasks is submitted
    And 0.1 s pass
    Then the restarted runner has started tasks
    When the restarted runner resets all its responses
    And 2.5 s pass
    And the leader is told to stop
    And 27.0 s pass
    Then every task of job "00000000000000dd" runs
    And no task ran twice

  Scenario: Tasks of a runner whose restart was never noticed restart elsewhere
    Guards against a lease that seems to last as long as the runner ran before.
    Given tasks that run 20.0 s
    When 30.0 s pass
    And an idle runner restarts, and its entry follows 60.0 s later
    And job "00000000000000de" of 100 tasks is submitted
    And 0.1 s pass
    Then the restarted runner has started tasks
    When the restarted runner can't be reached
    And its entry is removed
    And 14.0 s pass
    Then every task of job "00000000000000de" runs
    And no task ran twice

  Scenario: A report to a new leader doesn't shorten a published lease
    Given tasks that run 40.0 s
    When 12.0 s pass
    And an idle runner restarts, and its entry follows 1.5 s later
    And job "00000000000000df" of 100 tasks is submitted
    And 0.1 s pass
    Then the restarted runner has started tasks
    When the restarted runner resets all its responses
    And 2.5 s pass
    And the leader is told to stop
    And another host leads for 0.0 s
    And one response of that runner arrives
    And 27.0 s pass
    Then every task of job "00000000000000df" runs
    And no task ran twice

  Scenario: A late response of the previous incarnation doesn't tell the time
    Guards against leases by the clock of an incarnation that has ended.
    Given tasks that run 20.0 s
    When 12.0 s pass
    And an idle runner's responses to commands arrive 0.5 s late
    And job "00000000000000e0" of 100 tasks is submitted
    And 0.1 s pass
    And that runner restarts, and its entry follows at once
    And 0.6 s pass
    Then a lease granted to the restarted runner now is at most 5.1 s long
    When 2.0 s pass
    Then every task of job "00000000000000e0" runs
    And no task ran twice

  Scenario: Later leaders wait for a lease by the previous incarnation's clock
    Guards against a lease that only the leader knew that saw the restart.
    Given tasks that run 40.0 s
    When 12.0 s pass
    And an idle runner restarts, and its entry follows 0.5 s later
    And job "00000000000000e1" of 100 tasks is submitted
    And 1.7 s pass
    Then the restarted runner has started tasks
    When the restarted runner can't be reached
    And the leader is told to stop
    And another host leads for 0.1 s
    And the leader is told to stop
    And 27.0 s pass
    Then every task of job "00000000000000e1" runs
    And no task ran twice

  Scenario: A leader tells of a restart's lease as soon as it knows of it
    Guards against a leader that ends before its next periodic renewal.
    Given tasks that run 20.0 s
    When 12.0 s pass
    And an idle runner restarts, and its entry follows 20.0 s later
    And job "00000000000000e2" of 100 tasks is submitted
    And 0.1 s pass
    Then the restarted runner has started tasks
    When the leader is told to stop
    And another host leads for 0.15 s
    And the restarted runner can't be reached
    And the leader is told to stop
    And 14.0 s pass
    Then every task of job "00000000000000e2" runs
    And no task ran twice

  Scenario Outline: Random restarts beside other faults run no task twice
    When random faults of seed <seed> last 30.0 s, and 30.0 s pass
    Then all submitted jobs are "completed"
    And no task ran twice, but those whose end a crash lost

    Examples:
      | seed |
      | 41   |
      | 106  |

  Scenario Outline: A late start does nothing at a runner that restarted since
    Guards against a second run of a task after a stop that the previous
    incarnation accepted, and the next one doesn't know.
    Given tasks that run 20.0 s
    And the first start of job "00000000000000d8" is carried out 4.0 s late
    When job "00000000000000d7" of 1 tasks of 4000 millicores is submitted
    And 0.2 s pass
    And job "00000000000000d8" of 1 tasks of 2000 millicores is submitted
    And 0.2 s pass
    And job "00000000000000d9" of 1 tasks of 28000 millicores is submitted
    And 1.8 s pass
    And its runner restarts, and its entry follows <lag> s later
    And 8.0 s pass
    Then the late start was carried out
    And every task of job "00000000000000d8" runs
    And no task ran twice

    Examples:
      | lag |
      | 0.0 |
      | 1.0 |

  Scenario Outline: A late start does nothing at a runner that was gone meanwhile
    Given tasks that run 20.0 s
    And the first start of job "00000000000000d8" is carried out 6.0 s late
    When job "00000000000000d7" of 1 tasks of 4000 millicores is submitted
    And 0.2 s pass
    And job "00000000000000d8" of 1 tasks of 2000 millicores is submitted
    And 0.2 s pass
    And job "00000000000000d9" of 1 tasks of 28000 millicores is submitted
    And <wait> s pass
    And its runner's entry is deleted, and it restarts 2.0 s later
    And 8.0 s pass
    Then the late start was carried out
    And every task of job "00000000000000d8" runs
    And no task ran twice

    Examples:
      | wait |
      | 1.8  |
      | 0.1  |

  Scenario Outline: A start on its way does nothing after its host lost power
    Guards against a second run of a task whose runner was given up before its
    start counted as unanswered (review/7).
    Given tasks that run 20.0 s
    And the first start of job "00000000000000d8" is carried out 4.0 s late
    When job "00000000000000d7" of 1 tasks of 4000 millicores is submitted
    And 0.2 s pass
    And job "00000000000000d8" of 1 tasks of 2000 millicores is submitted
    And 0.1 s pass
    And its host loses power, and runs it again <down> s later
    And 12.0 s pass
    Then the late start was carried out
    And every task of job "00000000000000d8" runs
    And no task ran twice

    Examples:
      | down |
      | 1.5  |
      | 2.5  |

  Scenario: A late extension counts against the lease of the next incarnation
    Guards against a task that starts elsewhere while its runner, cut off,
    goes on with it under a lease by the clock of before (review/9).
    Given tasks that run 60.0 s
    When 120.0 s pass
    And job "00000000000000da" of 100 tasks is submitted
    And 4.0 s pass
    And the next extension at a runner with tasks is carried out 10.0 s late
    And that runner restarts after 1.5 s, and its entry follows at once
    And 11.0 s pass
    And the restarted runner can't be reached
    And 9.0 s pass
    Then the late extension was carried out
    And no task ran twice

  Scenario Outline: A runner that restarts at an earlier time of day is used
    Guards against a runner that is ignored, and polled without a pause, as its
    new start seems to be before the last one (review/14).
    Given tasks that run 20.0 s
    When 12.0 s pass
    And job "00000000000000db" of 40 tasks is submitted
    And 0.5 s pass
    And <which> runner restarts <back> s earlier, and its entry follows <lag> s later
    And 4.0 s pass
    And job "00000000000000dc" of 80 tasks is submitted
    And 2.0 s pass
    Then the restarted runner has started tasks
    And the restarted runner was polled at most 10 times a second
    And every task of job "00000000000000db" runs
    And no task ran twice

    Examples:
      | which   | back  | lag |
      | an idle | 2.0   | 0.0 |
      | an idle | 2.0   | 1.5 |
      | a busy  | 2.0   | 0.0 |
      | a busy  | 2.0   | 1.5 |
      | a busy  | 0.5   | 0.5 |

  Scenario: A late entry of the incarnation before leads to a question only
    Guards against taking an entry of before for that of a new start.
    Given tasks that run 20.0 s
    When 12.0 s pass
    And an idle runner restarts, and its entry follows 0.0 s later
    And job "00000000000000dd" of 120 tasks is submitted
    And 1.0 s pass
    And the previous incarnation's entry arrives again
    And 3.0 s pass
    Then 1 restart was noticed
    And every task of job "00000000000000dd" runs
    And no task was stopped
    And no task ran twice

  Scenario: A stop is repeated for no longer than its start may come
    Guards against a runner that is polled for ever, as it rejects the stop.
    Given a start at a runner that restarted, 5.0 s ago
    Then its stop is due now and again after 0.5 s
    And no stop is awaited 15.0 s after the start
