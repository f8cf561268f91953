Feature: Shares of a pool

  Scenario: Capacity that a team doesn't need goes to the others by weight
    Guards against slots that stay idle while a team could use them.
    When 60 slots are divided between these demands
      | team | weight | demand | part |
      | a    | 3      | 6      | 6    |
      | b    | 2      | 100    | 36   |
      | c    | 1      | 100    | 18   |
    Then each team gets its part

  Scenario: Every division is fair and uses the whole capacity
    Guards against a division that favours a team in a corner case.
    When many random capacities are divided between random demands
    Then each division is exact, and the part of one team agrees with it

  Scenario: A team that was idle starts at the level of the waiting teams
    Guards against a team that saves up its share and then uses the whole
    pool.
    Given a ledger in which team "a" has used 50 slot seconds and waits
    When team "b" that has used nothing begins to wait
    Then the ranks of "a" and "b" differ by less than 0.001

  Scenario: A request is charged while it runs
    Guards against long runs that are charged only for a short declared time.
    Given a ledger in which "a" and "b" wait and one request of "a" runs
    When 5 seconds pass
    Then "b" is next and "a" has used 5 slot seconds

  Scenario: The usage reported by a peer survives the peer's restart
    Guards against a team that gains from the restart of an entry host.
    Given a ledger with a peer's report of 30 slot seconds of "a"
    When the peer restarts and reports 2 slot seconds
    Then "a" has used 32 slot seconds

  Scenario: The ledger serves the waiting team with the lowest rank
    Guards against an index that keeps an outdated rank.
    When random starts, ends, waits and counters of peers reach a ledger
    Then its next team always has the lowest rank of the waiting teams
