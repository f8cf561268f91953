Feature: Operators' commands against a running entry host

  Scenario: Operators manage a site from the command line
    Guards against commands that don't match the operators' API.
    Given a running entry host with the example manifest "dieworks" applied
    Then "manifest show" prints JSON with "site" as "dieworks-lagos"
    And "team show apapa-mills --format json" exits with 0
    And "pool show" prints "back-office"
    And "host show quoting-worker-3" prints "in service"
    When "host drain quoting-worker-3" is run
    Then "host show quoting-worker-3" prints "draining"
    When "zone out ng-west-b" is run
    Then "host show rings-runner-1" prints "zone out"
    And "manifest history" prints "zone-out"
    And "status" exits with 0

  Scenario: Each kind of failure has its own exit code
    Guards against scripts that treat a refused change as success.
    Given a running entry host with the example manifest "dieworks" applied
    Then "manifest apply examples/dieworks.json --base-version 0" exits with 4
    And "manifest apply examples/dieworks.json" exits with 2
    And "manifest check README.md" exits with 3
    And "zone out ng-west-x" exits with 3
    And "zone out ng-west-x" prints "did you mean 'ng-west-"
    And "host show nobody" exits with 7
    And "change show unknown" exits with 7
    And "settings check README.md" exits with 2

  Scenario: The outcome of a change is looked up if its response is lost
    Guards against reporting a change that was accepted as unknown.
    Given a running entry host with the example manifest "dieworks" applied
    And the first address drops the response of every change
    When "zone out ng-west-c" is run
    Then "manifest history" prints "zone-out"
    And the last change printed "accepted"

  Scenario: No entry host answers
    Guards against reporting an unknown outcome as a refusal.
    Given no running entry host
    Then "zone out ng-west-c" exits with 6
    And "status" exits with 5

  Scenario: The operators' port requires the credential
    Guards against changes by clients that can merely reach the port.
    Given a running entry host with the example manifest "dieworks" applied
    Then a call without the credential gets status 401
