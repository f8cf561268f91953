Feature: Configuration on six real entry hosts

  Background:
    Given six entry hosts with seats, a team "mills" and its key "mills-key"

  Scenario Outline: <change> is in force on every entry host within 3 seconds, <fault>
    Guards against an entry host that still serves a withdrawn key, or
    still uses a zone or a runner that was taken out of service.
    Given <fault>
    When "entry-2" makes the change <change>
    Then the change is accepted and no running host violates it after 3 seconds
    And when "entry-5" resumes and the store is up, no host ever violates it

    Examples:
      | change                  | fault                                     |
      | key-withdraw            | no fault                                  |
      | key-withdraw            | the store goes down at the acceptance     |
      | key-withdraw            | "entry-5" is suspended                    |
      | zone-out                | no fault                                  |
      | zone-out                | the store goes down at the acceptance     |
      | zone-out                | "entry-5" is suspended                    |
      | drain                   | no fault                                  |
      | drain                   | the store goes down at the acceptance     |
      | drain                   | "entry-5" is suspended                    |

  Scenario Outline: A new share is in force everywhere within 5 seconds, <fault>
    Guards against an entry host that keeps an outdated configuration.
    Given <fault>
    When "entry-2" makes the change share
    Then every running host has the version in force within 5 seconds
    And after "entry-5" resumes it has the version within 5 seconds

    Examples:
      | fault                                 |
      | no fault                              |
      | the store goes down at the acceptance |
      | "entry-5" is suspended                |

  Scenario: An entry host starts while the store is down
    Guards against an entry host that can't start in an outage of the store.
    Given the store is down
    When "entry-6" is killed and started again
    Then "entry-6" is ready within 5 seconds and serves the key "mills-key"

  Scenario: Two operators change the same version at once
    Guards against a change that overwrites another one unnoticed.
    When "entry-1" and "entry-4" make a change from the same version at once
    Then one is accepted and the other is told the accepted version

  Scenario: The answer to a write is lost
    Guards against a change that is reported as failed although its write
    was applied.
    Given the store loses the answers to writes
    When "entry-3" makes the change key-withdraw
    Then the change is accepted and no running host violates it after 3 seconds

  Scenario: An entry host without peers and store turns unready
    Guards against requests that are admitted under a configuration that
    can't be confirmed.
    Given the store is down
    When every entry host but "entry-1" is suspended
    Then "entry-1" is unready within 3 seconds and refuses the key "mills-key"

  Scenario: Control traffic at rest
    Guards against probes that send more than the bandwidth budget of a
    host.
    When 10 seconds pass at rest
    Then every entry host has sent its peers 500 to 3000 bytes a second
