Feature: Shares of a pool

  Scenario: What a team leaves goes to the others by weight
    Guards against slots that idle while a team could use them.
    When 60 slots are divided among these claims
      | team | weight | demand | part |
      | a    | 3      | 6      | 6    |
      | b    | 2      | 100    | 36   |
      | c    | 1      | 100    | 18   |
    Then each team gets its part

  Scenario: No division is fairer or leaves more idle
    Guards against a division that favours a team in some corner case.
    When many random capacities and claims are divided
    Then each division is exact, and the index for one team agrees with it

  Scenario: A team that was idle starts level with those that wait
    Guards against a team that saves up its share and then takes the pool.
    Given a ledger in which team "a" has used 50 slot seconds and waits
    When team "b" that has used nothing begins to wait
    Then the ranks of "a" and "b" differ by less than 0.001

  Scenario: A run is charged while it runs
    Guards against long runs that hide behind a short declared time.
    Given a ledger in which "a" and "b" wait and one request of "a" runs
    When 5 seconds pass
    Then it is the turn of "b" and "a" has used 5 slot seconds

  Scenario: Counters of a peer that restarted aren't lost
    Guards against a team that gains by the restart of an entry host.
    Given a ledger that has heard 30 slot seconds of "a" from a peer
    When the peer restarts and reports 2 slot seconds
    Then "a" has used 32 slot seconds

  Scenario: The order of service equals that of a scan
    Guards against an index that keeps an old rank.
    When random starts, ends, waits and counters of peers reach a ledger
    Then its next team always has the lowest rank of those that wait
