Feature: Freshness of the fleet state

  Scenario Outline: Freshness is counted from the majority's requests
    Guards against a host that stays fresh through a minority of the seats or
    through an old answer.
    Given a site with <seats> seats
    When the store confirmed "<store>" and the seats "<confirmed>"
    Then the host is fresh until "<until>"

    Examples:
      | seats | store | confirmed               | until |
      | 6     | -     | 10.0 10.0 10.0          | never |
      | 6     | -     | 10.0 10.0 10.0 8.5      | 10.5  |
      | 6     | -     | 10.0 9.0 8.0 9.5 7.0    | 10.0  |
      | 6     | 9.7   | 10.0 9.0 8.0 8.5        | 11.7  |
      | 6     | 3.0   | 10.0 10.0 10.0 10.0     | 12.0  |
      | 5     | -     | 10.0 9.0 8.0            | 10.0  |
      | 1     | -     | 10.0                    | 12.0  |
      | 0     | -     | -                       | never |
      | 0     | 4.0   | -                       | 6.0   |

  Scenario Outline: What a peer's answer confirms
    Guards against a confirmation by a peer that has prepared a newer change.
    When a peer answers version <version> with prepared "<prepared>"
    Then a host at version 7 that knows "a b" takes it as <result>

    Examples:
      | version | prepared | result       |
      | 7       | -        | confirmation |
      | 7       | b        | confirmation |
      | 7       | b c      | nothing      |
      | 8       | -        | nothing      |
      | 6       | -        | nothing      |

  Scenario Outline: How many seats must acknowledge a change
    Guards against a first manifest that no seat can acknowledge, and against
    a change without a majority once hosts confirm each other's state.
    Then with <taken> of <seats> seats taken a change needs <needed>

    Examples:
      | seats | taken | needed |
      | 0     | 0     | 0      |
      | 6     | 3     | 0      |
      | 6     | 4     | 4      |
      | 6     | 6     | 4      |
      | 5     | 5     | 3      |

  Scenario: Majorities before and after a seat changes its holder overlap
    Guards against a change that a freshly confirmed host doesn't know.
    Then majorities of up to 9 seats overlap when one seat changes its holder

  Scenario Outline: A change is prepared with the restrictions that it adds
    Guards against a restriction that isn't prepared before the change.
    When a change makes <change> of a small state
    Then its restrictions are <restrictions>
    And the restricted old state allows nothing that the new one forbids

    Examples:
      | change                  | restrictions                          |
      | nothing new             | {}                                    |
      | a lower limit           | {"limit_by_team": {"mills": 5}}       |
      | a higher limit          | {}                                    |
      | fewer slots             | {"slots_by_runner": {"quote-0": 2}}   |
      | a removed runner        | {"draining": ["quote-0"]}             |
      | a moved runner          | {"draining": ["quote-0"]}             |
      | a narrowed queue        | {"teams_by_queue": {"quoting": ["forge"]}} |
      | a removed queue         | {"teams_by_queue": {"quoting": []}}   |
      | a removed team          | {"api_key_digests": ["d1"], "teams_by_queue": {"quoting": ["forge"]}} |
      | a key of another team   | {"api_key_digests": ["d1"]}           |
      | a seat of another host  | {"seats": [0]}                        |
