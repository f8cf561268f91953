Feature: Malformed rows and messages don't stop the others
  Rows may come from other writers or older programs. One that can't be used
  must not keep the other rows of its table from being used.

  Background:
    Given a site with service "press" on 8 hosts and queue "fit"
    And tasks that run 0.5 s

  Scenario: A job of as many tasks as are possible doesn't stop others
    Its state has to fit into a row, with checkpoints of any length.
    Given tasks that run 4 s
    And tasks have checkpoints of 180 characters
    When a job of 2000 tasks of 20 millicores is submitted
    And 6.0 s pass
    And tasks run 0.5 s from now on
    And job "00000000000000c6" of 4 tasks is submitted
    And 3.0 s pass
    Then job "00000000000000c6" is "completed"
    And the same host leads
    When the leader is killed
    And 5.0 s pass
    Then no task ran twice

  Scenario: A job of more tasks than are possible is refused
    Then a job of 2001 tasks is answered with 400
    And a job of 1200 steps with long names is answered with 413
