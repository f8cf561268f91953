Feature: Speed of tasks that fill a runner

  Scenario Outline: The speed follows the worst tail latency
    Given filling tasks at <speed> percent
    When the worst serving task is at <share> of its target
    Then they work at <next> percent

    Examples:
      | speed | share | next |
      | 100   | 0.3   | 100  |
      | 100   | 0.9   | 50   |
      | 50    | 0.7   | 50   |
      | 50    | 0.3   | 65   |
      | 5     | 1.2   | 0    |
      | 0     | 0.9   | 0    |
      | 0     | 0.2   | 15   |

  Scenario: A disturbance that doubles the latency is brought under its target
    Given filling tasks at 100 percent
    When they disturb by 1.5 times the target at full speed, over 0.4 without
    Then the target is met within 3 reports and stays so for 40
