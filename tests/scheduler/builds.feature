Feature: Builds that were landed read each other's rows
  Hosts are replaced one after the other, up and back, so a leader takes over
  from one of another build. A row that it can't read loses a job.

  Scenario Outline: This build goes on with the rows that <build> stored
    Guards against a field of a row that is renamed, moved or another type.
    Then this build finishes the jobs in the recorded rows of <build>

    Examples:
      | build   |
      | 740e359 |
      | bd1b0fb |
      | edb4b4f |
      | 220b006 |
      | 5f1c11c |

  Scenario Outline: The build <build> goes on with the rows that this one stores
    Guards against a new field where an earlier build expects another one.
    Given the sources of build <build> from the repository's history
    When this build stores jobs in all states
    Then that build finishes the jobs in these rows

    Examples:
      | build   |
      | 740e359 |
      | bd1b0fb |
      | edb4b4f |
      | 220b006 |
      | 5f1c11c |
