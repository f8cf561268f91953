Feature: Choice of a runner

  Scenario Outline: The host's zone comes first, then the least outstanding
    Guards against a request to a runner that has no free slot or accepts no
    work.
    Given these runners seen from zone az-a
      | runner | zone | free   | outstanding | blocked   |
      | near-1 | az-a | <free> | 3           | <blocked> |
      | near-2 | az-a | <free> | 2           | <blocked> |
      | far-1  | az-b | 1      | 1           |           |
      | far-2  | az-b | 1      | 0           | draining  |
    Then the chosen runner is <chosen>

    Examples:
      | free | blocked  | chosen |
      | 1    |          | near-2 |
      | 0    |          | far-1  |
      | 1    | zone-out | far-1  |

  Scenario: A circuit breaker opens, tries one request and closes
    Guards against a runner that fails every request and gets more of them.
    When a runner fails 5 times in a row at second 0
    Then it accepts work at these seconds
      | second | accepts |
      | 0.5    | no      |
      | 1.0    | yes     |
    When the trial request at second 1 fails
    Then it accepts work at these seconds
      | second | accepts |
      | 2.9    | no      |
      | 3.0    | yes     |
    When the trial request at second 3 succeeds
    Then it accepts work at these seconds
      | second | accepts |
      | 3.0    | yes     |

  Scenario: No second request is sent while a trial request runs
    Guards against many requests to a runner that has just recovered.
    When a runner fails 5 times in a row at second 0
    And the trial request at second 1 runs
    Then it accepts work at these seconds
      | second | accepts |
      | 2.0    | no      |
