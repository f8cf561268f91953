Feature: Fleets of many hundred hosts
  What a leader tells later leaders lies in one row, whose size the store
  bounds, and the platform bounds the commands for hosts.

  Scenario: A leader stays while hundreds of hosts leave their pool at once
    Given a site on 500 hosts and a store whose rows hold at most 6000 bytes
    When 8.0 s pass
    Then the first leader still leads
    And at most 64 commands for hosts were sent in any second

  Scenario: A leader that reaches hardly any runner keeps its row small
    Given 3000 runners with tasks that the leader can't reach
    Then its renewal fits into a row of 65536 bytes
    And the next leader waits for each of them as long as before
    But it waits no longer for those that the row names

  Scenario: The leases of many restarted runners are told as one time
    Given 3000 runners that restarted 1.0 s ago
    Then its renewal fits into a row of 65536 bytes
    And the next leader assumes for each of them the lease of before

  Scenario: The names of runners that may have unstored runs fit into the row
    Given 3000 runners with tasks that the leader can't reach
    And 3000 more that get tasks from a store that is slow
    Then its renewal fits into a row of 65536 bytes
    And the next leader waits for the runners that it names
