Feature: Runners that fall silent

  Background:
    Given a site with service "press" on 8 hosts and queue "fit"

  Scenario: Tasks of a dark runner start elsewhere once its lease lapsed
    Given tasks that run 2.0 s
    When job "00000000000000c1" of 20 tasks is submitted
    And 0.5 s pass
    And a runner with tasks crashes
    And 10.0 s pass
    Then job "00000000000000c1" is "completed"
    And no task ran twice

  Scenario: Tasks of a host that is down start elsewhere at once
    Given tasks that run 2.0 s
    When job "00000000000000c6" of 20 tasks is submitted
    And 0.5 s pass
    And a runner with tasks crashes and its host is listed as down
    And 4.5 s pass
    Then job "00000000000000c6" is "completed"
    And no task ran twice

  Scenario: A runner that is cut off and runs on holds its tasks alone
    Given tasks that run 20.0 s
    When job "00000000000000c2" of 20 tasks is submitted
    And 2.0 s pass
    And a runner with tasks can't be reached
    And 8.0 s pass
    Then every task of job "00000000000000c2" runs
    And no task ran twice

  Scenario: A dark runner is given up soon over a change of the leader
    Given hosts stay in their pools
    And tasks that run 20.0 s
    When job "00000000000000c3" of 20 tasks is submitted
    And 2.0 s pass
    And a runner with tasks crashes
    And 4.0 s pass
    And the leader is killed
    And 4.5 s pass
    Then every task of job "00000000000000c3" runs
    And no task ran twice

  Scenario: An order that is carried out late doubles no task
    Given tasks that run 6.0 s
    When the runners carry out commands 3.0 s late
    And job "00000000000000c4" of 10 tasks is submitted
    And 2.0 s pass
    And the runners carry out commands on time again
    And 30.0 s pass
    Then job "00000000000000c4" is "completed"
    And no task ran twice

  Scenario: An order that is carried out late is lost with its runner
    Given tasks that run 2.0 s
    When the runners carry out commands 3.0 s late
    And job "00000000000000ca" of 10 tasks is submitted
    And 0.5 s pass
    And the runners with assigned tasks crash and their hosts are listed as down
    And the runners carry out commands on time again
    And 10.0 s pass
    Then job "00000000000000ca" is "completed"
    And no task ran twice

  Scenario: A start without an answer costs little more than its time-out
    Guards against waiting for a report that the runner holds back.
    Given hosts stay in their pools
    And tasks that run 0.3 s
    When 1.0 s pass
    And the runners carry out commands 6.0 s late
    And job "00000000000000c9" of 1 tasks is submitted
    And 0.1 s pass
    And the runners carry out commands on time again
    And 1.5 s pass
    Then job "00000000000000c9" is "completed"
    When 8.0 s pass
    Then no task ran twice

  Scenario: A runner that starts anew holds nothing of before
    Given tasks that run 3.0 s
    When job "00000000000000c5" of 20 tasks is submitted
    And 1.0 s pass
    And a runner with tasks restarts under its id
    And 8.0 s pass
    Then job "00000000000000c5" is "completed"
    And no task ran twice

  Scenario: An idle runner takes tasks as soon as it answers again
    Guards against room that stays unused after a call without an answer.
    Given hosts stay in their pools
    And tasks that run 0.3 s
    When job "00000000000000c7" of 8 tasks is submitted
    And the runners can't be reached for 2.0 s once its tasks have ended
    And 1.0 s pass
    Given tasks that run 20.0 s
    When job "00000000000000c8" of 120 tasks is submitted
    And 1.0 s pass
    Then every task of job "00000000000000c8" runs
