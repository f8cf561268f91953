Feature: Speed of filling tasks

  Scenario Outline: The speed follows the worst tail latency
    Given filling tasks at <speed> percent
    When the worst serving task is at <ratio> of its target
    Then they work at <next> percent

    Examples:
      | speed | ratio | next |
      | 100   | 0.3   | 100  |
      | 100   | 0.9   | 50   |
      | 50    | 0.7   | 50   |
      | 50    | 0.3   | 65   |
      | 5     | 1.2   | 0    |
      | 0     | 0.9   | 0    |
      | 0     | 0.2   | 15   |

  Scenario: The latency is brought below its target within a few reports
    Given filling tasks at 100 percent
    When they add 1.5 times the target at full speed to a base of 0.4
    Then the target is met after 3 reports and for 40 more
