Feature: Configuration on six real entry hosts

  Background:
    Given six entry hosts with seats, a team "mills" and its key "mills-key"

  Scenario Outline: <change> binds every entry host within 3 seconds, <trouble>
    Guards against a host that goes on under what was taken away.
    Given <trouble>
    When "entry-2" makes the change <change>
    Then the change is accepted and no running host breaks it after 3 seconds
    And when "entry-5" continues and the store is up, no host ever breaks it

    Examples:
      | change                  | trouble                                   |
      | key-withdraw            | no trouble                                |
      | key-withdraw            | the store goes down at the acceptance     |
      | key-withdraw            | "entry-5" is stopped                      |
      | zone-out                | no trouble                                |
      | zone-out                | the store goes down at the acceptance     |
      | zone-out                | "entry-5" is stopped                      |
      | drain                   | no trouble                                |
      | drain                   | the store goes down at the acceptance     |
      | drain                   | "entry-5" is stopped                      |

  Scenario Outline: A new share is in force everywhere within 5 seconds, <trouble>
    Guards against a host that keeps an old configuration.
    Given <trouble>
    When "entry-2" makes the change share
    Then every running host has the version in force within 5 seconds
    And after "entry-5" continues it has the version within 5 seconds

    Examples:
      | trouble                               |
      | no trouble                            |
      | the store goes down at the acceptance |
      | "entry-5" is stopped                  |

  Scenario: An entry host starts while the store is down
    Guards against a host that can't start in an outage.
    Given the store is down
    When "entry-6" is killed and started again
    Then "entry-6" is ready within 5 seconds and serves the key "mills-key"

  Scenario: Two operators race
    Guards against a lost update.
    When "entry-1" and "entry-4" make a change from the same version at once
    Then one is accepted and the other told the version that won

  Scenario: The answer to a write is lost
    Guards against guessing what became of a write.
    Given the store loses the answers to writes
    When "entry-3" makes the change key-withdraw
    Then the change is accepted and no running host breaks it after 3 seconds

  Scenario: A host that is cut off turns unready
    Guards against admitting work without freshness.
    Given the store is down
    When every entry host but "entry-1" is stopped
    Then "entry-1" is unready within 3 seconds and refuses the key "mills-key"

  Scenario: Control traffic at rest
    Guards against probes that cost more than the budget of a host.
    When 10 seconds pass at rest
    Then every entry host has sent its peers 500 to 3000 bytes a second
