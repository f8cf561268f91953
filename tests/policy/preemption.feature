Feature: Preemption
  A task of a queue of priority 0 that has no room may have other runs
  stopped, at the least loss of work.

  Background:
    Given an urgent task of 8 cores and these runs
      | runner | task   | cores | priority | lost | kind          | stopped |
      | r1     | early  | 8     | 1        | 2    |               |         |
      | r2     | late   | 8     | 1        | 9    |               |         |
      | r3     | gang   | 8     | 1        | 1    | gang          |         |
      | r4     | equal  | 8     | 0        | 1    |               |         |
      | r5     | again  | 8     | 1        | 1    |               | 20      |
      | r6     | lasts  | 8     | 1        | 0    | lasts         |         |

  Scenario: The run that loses least stops, of those that may
    Then a short task stops "early"

  Scenario: A long-running task has another one stopped only if no other may
    Then a long-running task stops "early"
    But with "r6" alone a long-running task stops "lasts"
    And with "r6" alone a short task stops nothing

  Scenario: Tasks that fill stop first, though they lose more
    Given a run "filler" on "r7" that fills, of priority 0, losing 50
    Then a short task stops "filler"

  Scenario: No more runs stop than are needed
    Given a runner "r8" with these runs
      | task  | cores | priority | lost |
      | small | 2     | 1        | 0.1  |
      | large | 8     | 1        | 0.2  |
    Then a short task stops "large"

  Scenario: A run may be stopped again after a while
    Then a short task 31 s later stops "again"

  Scenario: Of many ways the least work is lost
    Given 40 runners with 4 random runs of 4 cores each
    Then the work lost is the least of any two runs on one runner
