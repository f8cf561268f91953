Feature: Limit on the starts that a leader has in progress
  Played on a model of the leader's link, which carries one start after the other;
  a start that isn't answered within 1 s has failed, but was carried all the same.

  Scenario Outline: A burst on a narrow link
    The simplest policy, to send all at once, wastes what it sends after the first second.
    Given a link that carries <rate> starts a second
    When 1000 tasks are to start at once
    Then the limit wastes at most 2% of the starts that are carried
    And it uses at least 90% of the link
    And sending all at once wastes at least <wasted>%

    Examples:
      | rate | wasted |
      | 60   | 50     |
      | 120  | 50     |
      | 400  | 50     |

  Scenario: A strong link is used as fully as without a limit
    Given a link that carries 5000 starts a second
    When 1000 tasks are to start at once
    Then the last task starts at most 0.1 s later than by sending all at once

  Scenario: A link that becomes narrow while starts are in progress
    Given a link that carries 2000 starts a second
    And it carries 80 a second from 0.2 s on
    When 1000 tasks are to start at once
    Then the limit wastes at most 10% of the starts that are carried

  Scenario: Runners that don't answer leave the limit as it is
    Given a limit of its first size
    When in each of 30 ticks 40 starts take 0.01 s and 15 take 1.0 s
    Then the limit is the largest

  Scenario: Starts begin in batches
    Given a limit of its first size
    Then none begin while 25 are in progress
    And 12 begin while 20 are in progress
