Feature: Checking manifests

  Scenario: The example manifests of both sites are valid
    Guards against examples that are rejected.
    Then the example manifests "dieworks" and "sunfold" are valid

  Scenario Outline: An invalid manifest is rejected with the problem's path
    Guards against a manifest that is applied in part or with a misspelt
    key.
    Given the example manifest "dieworks"
    When "<path>" is set to <value>
    Then a problem at "<problem>" mentions "<text>"

    Examples:
      | path              | value              | problem              | text                    |
      | queues.0.pool     | "quotin"           | $.queues[0].pool     | did you mean 'quoting'? |
      | queues.0.poool    | "quoting"          | $.queues[0].poool    | did you mean 'pool'?    |
      | teams.0.limit     | 0                  | $.teams[0].limit     | less than 1             |
      | teams.0.share     | -1                 | $.teams[0].share     | greater than 0          |
      | teams.0.limit     | "many"             | $.teams[0].limit     | not of type             |
      | runners.0.zone    | "az-9"             | $.runners[0].zone    | doesn't exist           |
      | runners.0.port    | 70000              | $.runners[0].port    | 1 to 65535              |
      | runners.0.address | "db.local"         | $.runners[0].address | isn't an IP address     |
      | hosts.1.name      | "quoting-worker-0" | $.hosts[1].name      | already used            |
      | pools             | []                 | $.queues[0].pool     | allowed: none           |

  Scenario: All problems are reported together
    Guards against a check that stops at the first error.
    Given the example manifest "sunfold"
    When "teams.0.share" is set to 0
    And "queues.1.pool" is set to "nowhere"
    And "runners.0.port" is set to 0
    Then there are 3 problems

  Scenario: Random corruption never crashes the check
    Guards against an unhandled exception on a malformed manifest.
    When 300 randomly corrupted manifests of seed 7 are checked
    Then each is either valid or rejected with a path
