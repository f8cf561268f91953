Feature: Outages of the store

  Background:
    Given a site with service "press" on 8 hosts and queue "fit"

  Scenario: Ends of many jobs are stored after an outage
    Given tasks that run 2.0 s
    When 100 jobs of 1 task are submitted
    And the store is down for 4.0 s
    And 6.0 s pass
    Then all submitted jobs are "completed"
    And no task ran twice

  Scenario: Running tasks survive an outage of the store
    Given tasks that run 6.0 s
    When job "00000000000000b1" of 20 tasks is submitted
    And 0.5 s pass
    And the store is down for 5.0 s
    And 6.0 s pass
    Then job "00000000000000b1" is "completed"
    And no task ran twice
    And no task was stopped

  Scenario: Lost responses of the store start no task twice
    Given tasks that run 1.0 s
    When the store loses its next 20 responses
    And job "00000000000000b2" of 20 tasks is submitted to any host
    And 40.0 s pass
    Then job "00000000000000b2" is "completed"
    And no task ran twice

  Scenario: A leader that the store rejects is replaced without lost tasks
    Given tasks that run 3.0 s
    When job "00000000000000b3" of 20 tasks is submitted
    And 1.0 s pass
    And the store rejects the leader for 9.0 s
    And 5.0 s pass
    Then job "00000000000000b3" is "completed" at the leader
    And no task ran twice
    And no task was stopped

  Scenario: A job is refused as not run while the store is down
    When the store goes down
    And 0.1 s pass
    And job "00000000000000b4" of 1 task is refused with 503
    And the store works again
    And 5.0 s pass
    Then job "00000000000000b4" is "410"

  Scenario: Hosts serve again within a second after an outage
    When the store is down for 5.0 s
    And 0.8 s pass
    Then every host accepts a job

  Scenario: Hosts and leader read tables again after a dropped history
    Guards against missing a change that was dropped from the history.
    Given tasks that run 0.5 s
    When the configuration changes and the store drops its history
    And job "00000000000000b9" of 10 tasks is submitted
    And 3.0 s pass
    Then job "00000000000000b9" is "completed"
    And every host has the newest configuration

  Scenario: Jobs that are deleted while the tables are read again stay ended
    Guards against a job that runs again because a page of the table showed it
    before its rows were deleted (review/6).
    Given hosts stay in their pools
    And tasks that run 0.05 s
    When 150 jobs of one partition are done, and their time to be kept is over
    And the store answers 0.3 s later and drops its history 24 times, 0.5 s apart
    And 5.0 s pass
    Then rows of jobs were deleted
    And no job ran again
