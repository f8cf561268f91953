Feature: Clients of the platform

  Background:
    Given the platform stand-in on loopback

  Scenario Outline: A call ends within its timeout despite <fault>
    Guards against a platform fault that delays a caller without bound.
    Given the stand-in simulates <fault>
    When a row is written with a timeout of 0.5 seconds
    Then the call fails as <failure> within 0.8 seconds
    And the write has taken effect: <effect>

    Examples:
      | fault                              | failure     | effect |
      | {"down": true}                     | unavailable | no     |
      | {"delay_s": 30}                    | unavailable | yes    |
      | {"lose_answers": true}             | unavailable | yes    |
      | {"slow_s": 0.6}                    | unavailable | later  |
      | {"reject_share": 1.0}              | unavailable | no     |
      | {"calls_per_s": 0.0}               | unavailable | no     |
      | {"down": true, "only": "/hosts"}   | success     | yes    |

  Scenario: Calls above the stand-in's rate are rejected
    Guards against a stand-in that can't simulate a rate limit.
    Given the stand-in simulates {"calls_per_s": 5}
    When 20 reads are made at once
    Then 5 to 7 of them succeed

  Scenario: The breaker stops calls to a platform that is down
    Guards against a flood of calls during an outage, and against a breaker
    that doesn't close again.
    Given the stand-in simulates {"down": true}
    When reads are made for 3 seconds, 100 a second
    Then at most 12 calls reached the stand-in
    And the other reads failed at once as not called
    When the stand-in simulates no fault
    Then a read succeeds within 5 seconds

  Scenario: Writes stay within the budget
    Guards against one host that uses up the platform's write rate.
    Given a write budget of 2 a second with a burst of 10
    When writes are made for 5 virtual seconds, 50 a second
    Then 18 to 21 of them are admitted

  Scenario: An unchanged row isn't sent again
    Guards against transferring the whole fleet state once a second.
    When the fleet state is stored
    Then a conditional read of the same row version returns nothing
    And a conditional read of an earlier row version returns the state

  Scenario: The second of two concurrent writers of the fleet state fails
    Guards against a write that overwrites a version it hasn't read.
    When the fleet state is stored
    And two writers replace the state that they both read
    Then only the first succeeds, and its token is stored with its version
