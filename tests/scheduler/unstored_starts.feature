Feature: Starts that don't wait until a slow store has their assignments

  Background:
    Given a site with service "press" on 8 hosts and queue "fit"
    And hosts stay in their pools
    And tasks that run 6.0 s

  Scenario: Tasks start before a slow store has their assignments
    Guards against slots that stay empty until a write is stored. The
    submission and the change of the jobs take two responses.
    When the store takes 0.3 s for each response
    And 2.0 s pass
    And job "00000000000000c1" of 20 tasks is submitted within 0.4 s
    Then 20 tasks of job "00000000000000c1" start within 0.4 s

  Scenario: Runners are named only while the store is slow
    Guards against starts that a new leader has to look for on a calm day.
    When 2.0 s pass
    Then the renewal names 0 runners
    When the store takes 0.3 s for each response
    And 2.0 s pass
    Then the renewal names 8 runners
    When the store takes 0.0 s for each response
    And 4.0 s pass
    Then the renewal names 0 runners

  Scenario: The next leader takes over runs that aren't stored
    Guards against second runs of tasks that no job's state shows as started.
    When the store takes 0.3 s for each response
    And 2.0 s pass
    And the leader's partition of the store goes down
    And job "00000000000000c3" of 20 tasks is submitted within 0.4 s
    And the leader is killed when 20 tasks of job "00000000000000c3" have started
    And the leader's partition of the store works again
    And the store takes 0.0 s for each response
    And 12.0 s pass
    Then job "00000000000000c3" is "completed"
    And no task ran twice
    And each task of job "00000000000000c3" started once

  Scenario: Tasks on a runner that the next leader can't reach start later
    Guards against second runs of tasks while their first runner may run them.
    Given tasks that run 60.0 s
    When the store takes 0.3 s for each response
    And 2.0 s pass
    And the leader's partition of the store goes down
    And job "00000000000000c4" of 20 tasks is submitted within 0.4 s
    And the leader is killed when 20 tasks of job "00000000000000c4" have started
    And the runner of the first task can't be reached from now on
    And the leader's partition of the store works again
    And the store takes 0.0 s for each response
    And 25.0 s pass
    Then no task ran twice
    And every task of job "00000000000000c4" runs

  Scenario: The leaders after the next one wait for the same runners
    Guards against a leader that stores the state of a job whose tasks it
    holds back, so that the leader after it starts them.
    Given tasks that run 60.0 s
    When the store takes 0.3 s for each response
    And 2.0 s pass
    And the leader's partition of the store goes down
    And job "00000000000000c5" of 20 tasks is submitted within 0.4 s
    And the leader is killed when 20 tasks of job "00000000000000c5" have started
    And the runner of the first task can't be reached from now on
    And the leader's partition of the store works again
    And the store takes 0.0 s for each response
    And 3.5 s pass
    And the leader is told to stop
    And 25.0 s pass
    Then no task ran twice
    And every task of job "00000000000000c5" runs

  Scenario: A runner is lost together with the leader
    When the store takes 0.3 s for each response
    And 2.0 s pass
    And the leader's partition of the store goes down
    And job "00000000000000c8" of 20 tasks is submitted within 0.4 s
    And the leader is killed when 20 tasks of job "00000000000000c8" have started
    And a runner with tasks crashes
    And the leader's partition of the store works again
    And the store takes 0.0 s for each response
    And 25.0 s pass
    Then job "00000000000000c8" is "completed"
    And no task ran twice

  Scenario: Runners carry out the killed leader's starts late
    Guards against starts that arrive after the next leader asked for them.
    When the store takes 0.3 s for each response
    And the runners carry out commands 2.8 s late
    And 2.0 s pass
    And the leader's partition of the store goes down
    And job "00000000000000c9" of 20 tasks is submitted within 0.4 s
    And 0.5 s pass
    And the leader is killed
    And the leader's partition of the store works again
    And the store takes 0.0 s for each response
    And 3.0 s pass
    And the runners carry out commands on time again
    And 25.0 s pass
    Then job "00000000000000c9" is "completed"
    And no task ran twice

  Scenario: Nothing is lost with the power of all hosts and runners
    When the store takes 0.3 s for each response
    And 2.0 s pass
    And the leader's partition of the store goes down
    And job "00000000000000c6" of 20 tasks is submitted within 0.4 s
    And the leader is killed when 20 tasks of job "00000000000000c6" have started
    And all runners lose their tasks, and all entry hosts are killed
    And the leader's partition of the store works again
    And the store takes 0.0 s for each response
    And 25.0 s pass
    Then job "00000000000000c6" is "completed"

  Scenario: A team's limit counts runs that aren't stored
    Guards against starts over a limit while runners haven't listed their runs.
    Given team "north" has an upper limit of 80000 millicores
    When the store takes 0.3 s for each response
    And 2.0 s pass
    And the leader's partition of the store goes down
    And job "00000000000000c7" of 60 tasks is submitted within 0.4 s
    And the leader is killed when 20 tasks of job "00000000000000c7" have started
    And the leader's partition of the store works again
    And the store takes 0.0 s for each response
    And 40.0 s pass
    Then job "00000000000000c7" is "completed"
    And never more than 20 tasks ran at once

  Scenario Outline: Leader changes in series while the store is slow
    Guards against runs that a leader started without a record.
    When the series of leader changes of seed <seed> is run with a slow store
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
