Feature: Queues whose placements need the advisor's permission
  The advisor handles one request at a time, so it bounds the pace of a
  queue, and whatever is accepted is done at that pace.

  # Guards against giving up every call of a burst before its answer
  # (review/13: 51 of 66 jobs never ran).
  Scenario Outline: A burst is served at the advisor's pace, <who left>
    Given a site with 8 runners and an advisor that <who left>
    When 66 advised jobs come within 4.4 s
    And the advisor has had time for all of them
    Then all advised jobs are "completed"
    And the advisor got at most 1.2 calls a job
    And at most 2 calls waited at the advisor

    Examples:
      | who left                              |
      | answers callers that have left        |
      | drops the calls of callers that left  |

  # Guards against a new leader that joins the calls of the previous one.
  Scenario Outline: A burst is served over the loss of <losses> leaders
    Given a site with 8 runners and an advisor that answers callers that have left
    When 40 advised jobs come within 2.7 s
    And <losses> leaders are killed 6 s apart
    And the advisor has had time for all of them
    Then all advised jobs are "completed"
    And the advisor got at most 2 calls a job
    And no task ran twice

    Examples:
      | losses |
      | 1      |
      | 2      |

  # Guards against filling the advisor's queue while it doesn't answer.
  Scenario Outline: A burst meets an advisor that <trouble> for <seconds> s
    Given a site with 8 runners and an advisor that answers callers that have left
    When 20 advised jobs come within 1.3 s
    And the advisor <trouble> for <seconds> s
    Then it got at most <calls> calls meanwhile
    When the advisor has had time for all of them
    Then all advised jobs are "completed"
    And the advisor got at most 2 calls a job

    Examples:
      | trouble                  | seconds | calls |
      | takes calls silently     | 4       | 4     |
      | takes calls silently     | 20      | 8     |
      | answers 429              | 10      | 8     |
      | answers 503              | 10      | 8     |
      | loses answers            | 4       | 8     |
      | is 20 times slower       | 30      | 8     |

  # Guards against answers that come in after any fixed timeout.
  Scenario: An advisor that is far slower than its queue says is waited for
    Given a site with 8 runners and an advisor that answers callers that have left
    When 5 advised jobs come within 0.5 s
    And the advisor is 60 times slower for 110 s
    Then all advised jobs are "completed"
    And the advisor got at most 3 calls a job

  # Guards against asking for steps that have no room, whose tickets expire.
  Scenario: The advisor is asked for what can start
    Given a site with 2 runners and an advisor that answers callers that have left
    And advised tasks that take a whole runner for 3 s
    When 20 advised jobs come within 1.3 s
    And 75 s pass
    Then all advised jobs are "completed"
    And the advisor got at most 3 calls a job
    And at most 3 starts had no valid ticket

  # Guards against starts with tickets that expired while the store was slow.
  Scenario: Tickets that expire before their starts are stored
    Given a site with 8 runners and an advisor whose tickets are valid for 0.5 s
    And a store that takes 0.6 s more
    When 10 advised jobs come within 1 s
    And 40 s pass
    Then all advised jobs are "completed"
    And at most 3 starts had no valid ticket

  # Guards against a policy that allows none of the runners named first.
  Scenario: Runners beyond those that a call can name are found
    Given a site with 130 runners and an advisor that allows the last 10 only
    When 3 advised jobs come within 1 s
    And 30 s pass
    Then all advised jobs are "completed"

  # Guards against advice that is kept for steps that have ended.
  Scenario: No advice is kept for steps that don't wait
    Given a site with 8 runners and an advisor that answers callers that have left
    When 20 advised jobs come within 1.3 s
    And the advisor has had time for all of them
    Then all advised jobs are "completed"
    And the leader keeps no advice

  # Guards against tickets of a runner's previous incarnation.
  Scenario: Runners that restart between advice and start
    Given a site with 4 runners and an advisor that answers callers that have left
    When 20 advised jobs come within 1.3 s
    And every runner restarts under its id, one each second
    And the advisor has had time for all of them
    Then all advised jobs are "completed"
