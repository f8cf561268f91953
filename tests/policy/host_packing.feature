Feature: Hosts that a load needs

  Scenario: Room beside long-running tasks counts in the resource that binds
    Given 6 hosts with 16000 millicores and 8000 MB left
    And hosts of 32000 millicores and 131072 MB
    Then 8 tasks of 6700 millicores and 14000 MB need 2 more hosts
    And 8 tasks of 6700 millicores and 2000 MB need 0 more hosts

  Scenario: Accelerators count as well
    Given 2 hosts with 30000 millicores and 90000 MB left
    And hosts of 32000 millicores and 131072 MB with 4 accelerators
    Then 8 tasks of 500 millicores and 500 MB with 2 accelerators need 5 more hosts

  Scenario: A task of more than half a host gets a host of its own
    Given hosts of 32000 millicores and 131072 MB
    Then 3 tasks of 20000 millicores and 1000 MB need 3 more hosts

  Scenario Outline: Tasks find room on the hosts that they are said to need
    Guards against pools that are sized by processors alone: their tasks wait
    while memory is short.
    Given 6 hosts with <cpu> millicores and <memory> MB left
    And hosts of 32000 millicores and 131072 MB
    When 30 loads of tasks of mixed needs are placed
    Then at least 0.98 of the tasks start at once
    And by processors alone at most <simple> of the tasks do
    And the hosts are at most <ratio> of those that no packing can do without

    Examples:
      | cpu   | memory | simple | ratio |
      | 16000 | 8000   | 0.93   | 1.2   |
      | 10000 | 40000  | 1.0    | 1.25  |
