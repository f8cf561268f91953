Feature: Division of limits and lending of permits

  Scenario: The parts of all seats add up to the limit
    Guards against permits that are created or lost by rounding.
    When limits from 0 to 200 are divided between 6 seats
    Then the parts of each limit add up to it
    And no part shrinks when the limit grows by one
    And each seat has the larger part of 14% to 20% of 600 keys

  Scenario Outline: A new holder waits until its predecessor's permits expire
    Guards against a base part that two holders use at the same time.
    When a holder with epoch <epoch> is seen at 100 s and runs last 30 s
    Then its base parts are usable from <usable> s

    Examples:
      | epoch | usable |
      | 1     | 100    |
      | 2     | 134    |

  Scenario Outline: Spare permits go to the requester with the highest priority
    Guards against a wrong order of requesters or a wrong count.
    When <spare> spare permits are divided between <requesters>
    Then the grants are <grants>

    Examples: peer/tier/rank/waited/count, "here" for this host
      | spare | requesters                    | grants   |
      | 3     | b/0/2.0/9/2 c/0/1.0/1/2       | c/2 b/1  |
      | 2     | b/0/1.0/1/2 c/0/1.0/5/1       | c/1 b/1  |
      | 3     | b/0/2.0/9/5 here/0/1.0/1/2    | b/1      |
      | 3     | b/0/1.0/9/2 here/0/2.0/1/5    | b/2      |
      | 1     | b/1/0.0/9/1 here/0/5.0/1/1    | none     |
      | 0     | b/0/0.0/9/1                   | none     |

  Scenario: The slots of a returned zone grow over four seconds
    Guards against a returned zone that gets all of its load at once.
    When a limit of 8 is ramped for 0, 2, 4 and 9 seconds
    Then the ramped limits are 2, 5, 8 and 8
