Feature: Learned run times
  The ratio of actual to declared run time of an image's tasks is learned from
  those that ended.

  Scenario: Without ended runs the declared time is expected
    Then the expected ratio is 1.0 after 0 runs

  Scenario Outline: Twenty runs show the median within a quarter
    When 20 runs take about <ratio> times the declared time
    Then the expected ratio is within a quarter of <ratio>

    Examples:
      | ratio |
      | 0.4   |
      | 0.8   |
      | 1.5   |
      | 2.0   |
      | 3.0   |

  Scenario: Runs in the tail and on a slow runner don't change it
    When 40 runs take about 1.5 times the declared time
    And 3 of 40 further runs take 7 times and 8 take 6 times as long
    Then the expected ratio is within a quarter of 1.5
    And between 0.05 and 0.25 of the runs are in the tail

  Scenario: Many runs of one step count once
    When 10 runs take about 1.5 times the declared time
    And 40 runs of one step take 6 times as long
    Then the expected ratio is within a quarter of 1.5

  Scenario: Steps that are each declared wrongly don't move a queue's ratio
    Guards against an order that follows the latest few jobs.
    When 200 steps of 8 tasks are declared wrongly, each by up to 2 either way
    Then the expected ratio stays between 0.8 and 1.25

  Scenario: A change of an image's run time is followed
    When 64 runs take about 1.5 times the declared time
    And 64 runs take about 0.5 times the declared time
    Then the expected ratio is within a quarter of 0.5

  Scenario: The number of images is bounded
    When each of 1000 images ends one run
    Then run times of at most 256 images are kept, of the latest ones

  Scenario: More work ends in time when run times are learned
    Given 40 slots, and a burst of 1.6 times their capacity for 10 s with one of two queues declared at a third of its run time
    Then learned run times bring more work in time than the declared ones
    And at least 0.95 of what known run times would
