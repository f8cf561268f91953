Feature: More ends of runs than a runner lists at a time

  Scenario: Ends beyond those that a runner lists at a time aren't lost
    Guards against taking a run that ended for one that never began.
    Given a site with service "press" on 2 hosts and queue "fit"
    And hosts stay in their pools
    And tasks that run 1.0 s
    When a job of 1240 tasks of 50 millicores is submitted
    And 1.0 s pass
    And the leader is killed
    And 12.0 s pass
    Then no task ran twice
    And the new leader started no task again
