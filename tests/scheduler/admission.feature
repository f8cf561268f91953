Feature: Entry hosts admit jobs by the leader's estimate

  Background:
    Given a site with admission, service "press" on 4 hosts and queue "fit"
    And tasks that run 2.0 s

  Scenario: Jobs that can't end in time to be of use are refused at once
    When jobs of 12 tasks of 8 cores are submitted until 5 are refused
    Then each of them got 429 with a whole Retry-After, as not run
    And none of them is stored or starts within 10 s
    And every accepted job ends

  Scenario: Without a backlog nothing is refused
    When 3 jobs of 4 tasks of 8 cores are submitted, one every 2 s
    Then none is refused
    And every accepted job ends

  Scenario: An estimate is used for a few seconds only after its leader's end
    When jobs of 12 tasks of 8 cores are submitted until 1 are refused
    And the leader is killed and no other host can lead
    And 2.6 s pass
    Then a job is accepted

  Scenario: A new leader's takeover withdraws the estimate until it has read the jobs
    When jobs of 12 tasks of 8 cores are submitted until 1 are refused
    And the leader is killed
    And 1.0 s pass
    Then every accepted job is known to the new leader

  Scenario: A repeat of a job whose answer was lost gets 200 during a burst
    When jobs of 12 tasks of 8 cores are submitted until 1 are refused
    Then a repeat of the first accepted job gets 200 at every host

  Scenario: A submission that is carried out late after a refusal never runs
    When a job is submitted whose write is carried out 6.0 s late
    And jobs of 12 tasks of 8 cores are submitted until 1 are refused
    And it is submitted again and gets 429 before that write
    And 8.0 s pass
    Then it never started and isn't stored

  Scenario: A refused caller that comes back is accepted in its old position
    When jobs of 12 tasks of 8 cores are submitted until 1 are refused
    And 20.0 s pass
    Then the refused job is accepted at another host
    And its position counts from its first attempt
    And the store has no row of its refusal

  Scenario: Refusals are deleted a minute after the last attempt
    When jobs of 12 tasks of 8 cores are submitted until 2 are refused
    And 75.0 s pass
    Then the store has no row of its refusal

  Scenario: Long-running jobs, cancels and reads are served during a burst
    When jobs of 12 tasks of 8 cores are submitted until 1 are refused
    Then a long-running job is accepted
    And an accepted job's state is shown and it can be cancelled

  Scenario: A host that the store turns away refuses as not run, others admit
    When the store is away for one host
    And 0.1 s pass
    Then that host answers 503 and another one accepts

  Scenario: A host that was frozen spends no part of an old estimate
    When jobs of 12 tasks of 8 cores are submitted until 1 are refused
    And a host that doesn't lead is frozen for 4.0 s with its reads in transit
    Then until its next read it decides by no estimate

  Scenario: Jobs that wait for their team's cap let nobody be refused
    Given team "north" has an upper limit of 8000 millicores
    When 40 jobs of 12 tasks of 8 cores are submitted, one every 0.1 s
    Then none is refused

  Scenario: An estimate of many queues is published within its share of the row
    When a leader estimates 40 queues with a backlog, for at most 6553 bytes
    Then some queues are published, and not all of them
    And the published form has at most 6553 bytes
