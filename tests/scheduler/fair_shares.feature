Feature: Shares of teams in the leader
  The leader keeps account of what the teams' runs held. While more waits than
  fits, the jobs of a team with less come first among those in time.

  Background:
    Given a site with shares whose pool of 2 hosts runs 8 tasks of 8 cores
    And team "north" holds the pool for 4 s

  Scenario: Of two jobs as urgent, that of the team with less starts first
    When "north" and then "south" submit a job that fills the pool
    And the pool becomes free
    Then the job of "south" starts first
    And the leader has logged the factors of "north" and "south"

  Scenario: A new leader goes on with the accounts
    When the leader is killed and replaced
    Then the new leader's account of "north" is at least 0.7 of the old one's
    And its renewals carry it

  Scenario: A new leader that can't read the accounts starts from what runs
    Given the renewals carry accounts of an unknown form
    When the leader is killed and replaced
    Then the new leader's account of "north" is what its runs hold

  Scenario: Without scarcity the order doesn't change
    When "south" submits a job of one task while half of the pool is free
    Then no factors were logged
