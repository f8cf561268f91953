Feature: Runners that stop responding

  Background:
    Given a site with service "press" on 8 hosts and queue "fit"

  Scenario: Tasks of a crashed runner restart elsewhere after its lease expired
    Given tasks that run 2.0 s
    When job "00000000000000c1" of 20 tasks is submitted
    And 0.5 s pass
    And a runner with tasks crashes
    And 10.0 s pass
    Then job "00000000000000c1" is "completed"
    And no task ran twice

  Scenario: Tasks of a host reported as down restart elsewhere at once
    Given tasks that run 2.0 s
    When job "00000000000000c6" of 20 tasks is submitted
    And 0.5 s pass
    And a runner with tasks crashes and its host is listed as down
    And 4.5 s pass
    Then job "00000000000000c6" is "completed"
    And no task ran twice

  Scenario: Tasks of an unreachable runner that keeps running never run twice
    Given tasks that run 20.0 s
    When job "00000000000000c2" of 20 tasks is submitted
    And 2.0 s pass
    And a runner with tasks can't be reached
    And 8.0 s pass
    Then every task of job "00000000000000c2" runs
    And no task ran twice

  Scenario: A crashed runner's tasks restart soon even if the leader changes
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

  Scenario: A crashed runner's tasks restart soon even if leaders change in turn
    Guards against a wait that begins anew with each change of the leader.
    Given hosts stay in their pools
    And tasks that run 20.0 s
    When job "00000000000000cf" of 20 tasks is submitted
    And 2.0 s pass
    And a runner with tasks crashes
    And 3.6 s pass
    And the leader is told to stop
    And another host leads for 0.3 s
    And the leader is told to stop
    And another host leads for 2.2 s
    Then every task of job "00000000000000cf" runs
    And no task ran twice

  Scenario: Tasks of a runner that confirmed the new token wait for one lease
    Guards against the longer wait after a leader that may still be active.
    Given hosts stay in their pools
    And tasks that run 20.0 s
    When job "00000000000000d0" of 20 tasks is submitted
    And 2.0 s pass
    And the leader is isolated from the network
    And 3.5 s pass
    And a runner with tasks crashes
    And 5.6 s pass
    Then every task of job "00000000000000d0" runs
    And no task ran twice

  Scenario: A start command executed late duplicates no task
    Given tasks that run 6.0 s
    When the runners carry out commands 3.0 s late
    And job "00000000000000c4" of 10 tasks is submitted
    And 2.0 s pass
    And the runners carry out commands on time again
    And 30.0 s pass
    Then job "00000000000000c4" is "completed"
    And no task ran twice

  Scenario: A start command executed late has no effect once its host is down
    Given tasks that run 2.0 s
    When the runners carry out commands 3.0 s late
    And job "00000000000000ca" of 10 tasks is submitted
    And 0.5 s pass
    And the runners with assigned tasks crash and their hosts are listed as down
    And the runners carry out commands on time again
    And 10.0 s pass
    Then job "00000000000000ca" is "completed"
    And no task ran twice

  Scenario: A start without a response delays its task little over its time-out
    Guards against waiting for a report that the runner delays.
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

  Scenario: A restarted runner runs none of its previous tasks
    Given tasks that run 3.0 s
    When job "00000000000000c5" of 20 tasks is submitted
    And 1.0 s pass
    And a runner with tasks restarts under its id
    And 8.0 s pass
    Then job "00000000000000c5" is "completed"
    And no task ran twice

  Scenario: One report to a new leader doesn't shorten the previous lease
    Given hosts stay in their pools
    And tasks that run 20.0 s
    When job "00000000000000cb" of 20 tasks is submitted
    And 2.0 s pass
    And a runner with tasks resets all its responses
    And the leader is told to stop
    And 1.2 s pass
    And the store's responses to the leader are lost for 1.0 s
    And one response of that runner arrives
    And 8.0 s pass
    Then every task of job "00000000000000cb" runs
    And no task ran twice

  Scenario: A lease outlasts the expiry that an earlier leader published
    Given hosts stay in their pools
    And tasks that run 20.0 s
    When job "00000000000000cc" of 20 tasks is submitted
    And 2.0 s pass
    And a runner with tasks resets all its responses
    And 2.5 s pass
    And the leader is told to stop
    And that runner's responses arrive again
    And another host leads for 0.3 s
    And that runner resets all its responses again
    And the leader is told to stop
    And 8.0 s pass
    Then every task of job "00000000000000cc" runs
    And no task ran twice

  Scenario: A leader that ends soon after a takeover passes on earlier leases
    Guards against renewals without what the takeover stored.
    Given hosts stay in their pools
    And tasks that run 20.0 s
    When job "00000000000000d2" of 20 tasks is submitted
    And 2.0 s pass
    And the leader reaches nothing but runners
    And a further host leads for 0.7 s, is killed and leads again
    Then the new leader waits for the leases of the one that reaches runners

  Scenario: The lease of a runner that responds again is extended at once
    Guards against waiting for the next renewal and the end of a long poll.
    Given hosts stay in their pools
    And tasks that run 20.0 s
    When job "00000000000000d3" of 20 tasks is submitted
    And 2.0 s pass
    And a runner with tasks resets all its responses
    And 2.8 s pass
    And that runner's responses arrive again
    And 0.3 s pass
    Then that runner's lease lasts at least 4.5 s

  Scenario: An idle runner gets tasks as soon as it responds again
    Guards against capacity that stays unused after a call without a response.
    Given hosts stay in their pools
    And tasks that run 0.3 s
    When job "00000000000000c7" of 8 tasks is submitted
    And the runners can't be reached for 2.0 s once its tasks have ended
    And 1.0 s pass
    Given tasks that run 20.0 s
    When job "00000000000000c8" of 120 tasks is submitted
    And 1.0 s pass
    Then every task of job "00000000000000c8" runs
