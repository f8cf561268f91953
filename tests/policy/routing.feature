Feature: Choice of a runner

  Scenario Outline: The own zone goes first, then the least outstanding
    Guards against work for a runner that has no slot or takes no work.
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
    Guards against a runner that fails everything and draws more work.
    When a runner fails 5 times in a row at second 0
    Then it takes work at these seconds
      | second | takes |
      | 0.5    | no    |
      | 1.0    | yes   |
    When the trial request at second 1 fails
    Then it takes work at these seconds
      | second | takes |
      | 2.9    | no    |
      | 3.0    | yes   |
    When the trial request at second 3 succeeds
    Then it takes work at these seconds
      | second | takes |
      | 3.0    | yes   |

  Scenario: A trial that runs lets no second request through
    Guards against a rush on a runner that has hardly recovered.
    When a runner fails 5 times in a row at second 0
    And the trial request at second 1 runs
    Then it takes work at these seconds
      | second | takes |
      | 2.0    | no    |
