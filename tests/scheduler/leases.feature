Feature: Leases on runners last no longer than the leaders assume

  Scenario: A lease computed from an old reading of a slow clock isn't longer
    Guards against tasks that outlive what a later leader waits for.
    Given a runner whose clock is 2 % slow was last heard 60 s ago
    When its lease is extended by 5 s
    Then the lease has expired on the runner after 5.1 s

  Scenario: The lease of a runner that was idle for long isn't shorter
    Guards against starts that are rejected as late after an idle time.
    Given a runner whose clock is 0 % slow was last heard 300 s ago
    And its entry is renewed every 1.5 s
    When its lease is extended by 5 s
    Then the lease has expired on the runner after 5.1 s
    And the lease hasn't expired on the runner after 4.9 s

  Scenario: The clock of an entry that was written long ago isn't taken over
    Guards against leases that last shorter than known.
    Given a runner whose clock is 0 % slow was last heard 1 s ago
    And its entry of 60 s ago is read
    When its lease is extended by 5 s
    Then the lease hasn't expired on the runner after 4.9 s

  Scenario: The store's clock is known within the time of a response
    Guards against times of other leaders that seem to have passed too early.
    Given the store showed 100 s in a response that took from 10 s to 12 s
    Then at 20 s the store's clock shows 108 s to 110 s
    And 100 s have certainly passed on it at 12 s, not before

  Scenario: A published expiry isn't earlier than the lease in a slow store
    Guards against a reading of the store's clock that is as old as its response.
    Given a site with service "press" on 8 hosts and queue "fit"
    And hosts stay in their pools
    And tasks that run 20.0 s
    When job "00000000000000d1" of 20 tasks is submitted
    And 2.0 s pass
    And the store takes 0.9 s for each response
    And 4.0 s pass
    And a runner with tasks resets all its responses
    And 2.5 s pass
    And the store takes 0.0 s for each response
    And the leader is told to stop
    And 8.0 s pass
    Then every task of job "00000000000000d1" runs
    And no task ran twice
