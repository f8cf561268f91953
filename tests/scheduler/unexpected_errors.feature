Feature: Unexpected errors in the steps of a host
  An error that nobody has foreseen ends neither a loop of the host nor the
  handling of anything but what it concerns.

  Background:
    Given a site with service "press" on 8 hosts and queue "fit"
    And tasks that run 0.5 s

  Scenario: A job that can't be planned keeps no other from being planned
    Given a stored job whose steps depend on one that it doesn't have
    When job "00000000000000d1" of 10 tasks is submitted
    And 4.0 s pass
    Then job "00000000000000d1" is "completed"
    And the same host leads
    And one job was set aside

  Scenario: Jobs are planned again after an error that wasn't theirs
    Given a stored job whose steps depend on one that it doesn't have
    When job "00000000000000d3" of 10 tasks is submitted
    And job "00000000000000d4" of 10 tasks is submitted
    And for 1.0 s no job can be planned
    And 13.0 s pass
    Then job "00000000000000d3" is "completed"
    And job "00000000000000d4" is "completed"

  Scenario Outline: One error in a step of the leader loses nothing
    Given the next <count> calls of the leader's <step> fail
    When job "00000000000000d2" of 10 tasks is submitted
    And 8.0 s pass
    Then job "00000000000000d2" is "completed"
    And the same host leads
    And no task ran twice
    And a failed step was logged

    Examples:
      | step                                   | count |
      | runner_events.release_unregistered_runs | 1    |
      | _command_sender.update_links           | 1     |
      | _start_limiter.update                  | 1     |
      | _planner.plan                          | 1     |
      | _planner.plan                          | 5     |
      | _row_writer._write_batch               | 1     |
      | _row_writer._write_batch               | 2     |
      | _job_rows.handle_changed_rows          | 2     |
      | _command_sender._calls.start_task      | 3     |
      | _command_sender._calls.poll            | 3     |
      | runner_events.handle_report            | 3     |

  Scenario: A host that fails to judge the leader's rows once takes over later
    Given each host fails once to decide whether to take over
    When the leader is killed
    And 5.0 s pass
    Then a host leads

  Scenario Outline: A host that fails to begin a term leaves it to others
    Given the next <count> terms fail in <method>
    When the leader is killed
    And 12.0 s pass
    And job "00000000000000d5" of 10 tasks is submitted
    And 3.0 s pass
    Then job "00000000000000d5" is "completed"
    When the leader is killed
    And 12.0 s pass
    Then a host leads

    Examples:
      | count | method   |
      | 1     | run      |
      | 1     | __init__ |
      | 2     | run      |
      | 2     | __init__ |

  Scenario: No host takes over on a leader's row that can't be read
    Its fencing token would be unknown.
    When the leader is killed
    And the row "owner" of the leader becomes {"holder": 7}
    And 8.0 s pass
    Then no host leads
    When the row "owner" of the leader is deleted
    And 4.0 s pass
    Then a host leads with a higher token

  Scenario: A renewal that can't be read is replaced by its leader
    When the row "alive" of the leader becomes \xff
    And 8.0 s pass
    Then the same host leads
