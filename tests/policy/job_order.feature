Feature: Order of jobs
  Jobs that can still meet their objective come before those that can't, and
  a team's jobs beyond its share come after the jobs of all other teams.

  Scenario: A job that can meet its objective precedes one that can't
    Given a job "late" that arrived 5.0 s ago, due in 0.5 s, with 2.0 s left
    And a job "new" that arrived 0.1 s ago, due in 3.0 s, with 1.0 s left
    Then the order is "new, late"

  Scenario: Of the jobs that can meet their objective the most urgent is first
    Given a job "relaxed" that arrived 2.0 s ago, due in 9.0 s, with 1.0 s left
    And a job "urgent" that arrived 0.1 s ago, due in 2.0 s, with 1.5 s left
    Then the order is "urgent, relaxed"

  Scenario: Late jobs keep their order of arrival
    Given a job "second" that arrived 6.0 s ago, due in -1.0 s, with 2.0 s left
    And a job "first" that arrived 7.0 s ago, due in 0.0 s, with 2.0 s left
    Then the order is "first, second"

  Scenario: Jobs beyond a team's share come after other jobs
    Given a job "beyond" that arrived 1.0 s ago, due in 2.0 s, with 1.0 s left
    And it is beyond its team's share
    And a job "within" that arrived 0.1 s ago, due in 9.0 s, with 1.0 s left
    Then the order is "within, beyond"

  Scenario: Of ten times a team's weight only the weight is within its share
    When a team of weight 5 sends 500 jobs over 10.0 s
    Then between 50 and 60 of them are within its share

  Scenario: A team below its weight is never beyond its share
    When a team of weight 20 sends 100 jobs over 10.0 s
    Then between 100 and 100 of them are within its share

  Scenario: The overload of one team doesn't delay the jobs of another
    Given a pool that runs 20 jobs a second of 0.5 s each, due after 1.0 s
    When team "hot" of weight 10 sends 60 jobs a second for 8.0 s
    And team "calm" of weight 10 sends 8 jobs a second for 8.0 s
    Then at least 0.95 of the jobs of "calm" end in time
    And with jobs in order of arrival under 0.5 of them do

  Scenario: A late job precedes one that is too late to be of use
    Given a job "useless" that arrived 20.0 s ago, due in -18.0 s, with 1.0 s left
    And a job "late" that arrived 3.0 s ago, due in -0.5 s, with 1.0 s left
    Then the order is "late, useless"

  Scenario: The order completes more work in time in a burst
    Given 96 slots, and a burst of 1.8 times their capacity for 9.0 s with run times declared off by a fifth
    Then more of the work ends in time than by urgency alone
    And more than by order of arrival

  Scenario: A job that is too late to be of use yields to all others
    Given a job "useless" that arrived 20.0 s ago, due in -18.0 s, with 1.0 s left
    And a job "other" that arrived 0.5 s ago, due in 2.0 s, with 1.0 s left
    And it is beyond its team's share
    And its queue has priority 3
    Then the order is "other, useless"

  Scenario: A job is hopeless once it can't end within three objectives
    Given a job "late" that arrived 5.0 s ago, due in -3.0 s, with 0.9 s left
    And a job "hopeless" that arrived 5.0 s ago, due in -3.0 s, with 1.1 s left
    And a job "lasting" that arrived 9.0 s ago, due in -8.0 s, with 5.0 s left
    And it runs until it is cancelled
    Then the hopeless jobs are "hopeless"

  Scenario: No job waits without bound while the pool stays overloaded
    Given 20 teams of skewed sizes whose jobs ask 1.5 times a small pool's room for 100 s
    Then every job of the first 4 s ends within 75 s
    And without the limit on the wait one takes over 95 s
    And the jobs in time are at most 0.02 fewer for it

  Scenario: The largest jobs aren't crowded out
    Given 20 teams of skewed sizes whose jobs ask 2 times a pool's room
    Then the largest tenth of the jobs ends in time at least half as often as all
    And at least 0.75 as many end in time as with the smallest work first in a pool without limits on a job
