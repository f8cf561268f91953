Feature: A store that is slow or loses responses

  Background:
    Given a site with service "press" on 8 hosts and queue "fit"
    And tasks that run 0.5 s

  Scenario: A lost response delays a submission by a fraction of a second
    When the store loses its next 1 responses
    And job "00000000000000b5" of 1 task is submitted within 0.5 s
    Then job "00000000000000b5" is known at every host

  Scenario: A job that is cancelled before its submission is stored never starts
    Guards against a cancel that is answered while the store may still carry
    out the submission.
    Given submissions are stored 2.5 s late, without a response
    When job "00000000000000ba" of 1 task is submitted and answered with 504
    And submissions are stored on time again
    And job "00000000000000ba" is cancelled and answered with 410
    And 3.0 s pass
    Then no task of job "00000000000000ba" started

  Scenario: Lost responses to the leader delay starts by a fraction of a second
    When job "00000000000000b6" of 4 tasks is submitted
    And the store loses its next 2 responses
    And 1.6 s pass
    Then job "00000000000000b6" is "completed"
    And no task ran twice

  Scenario: Requests to a slow store don't time out
    When the store takes 0.4 s for each response
    And 5.0 s pass
    And 12 jobs of 1 task are submitted
    And 6.0 s pass
    Then all submitted jobs are "completed"

  Scenario: A response that is later than usual isn't given up
    The submission is stored, read and assigned in three responses. A leader
    that gave up its renewals would lose its lead before.
    Given hosts stay in their pools
    When the store takes 0.7 s for each response
    And job "00000000000000b8" of 1 task is submitted within 0.8 s
    Then a task of job "00000000000000b8" starts within 1.5 s

  Scenario: A write isn't repeated while reads show that the store is slow
    Guards against transactions of which each takes as long again in a store
    that carries out one after the other.
    When 2.0 s pass
    And the store takes 0.4 s for each response
    And 3.0 s pass
    And a job of 1 task is submitted to each host
    Then the store got 1 transaction for each of them

  Scenario: The first write to a store that has just turned slow isn't repeated
    Guards against copies that hold up the next write to the same partition.
    When 2.0 s pass
    And the store takes 0.4 s for each response
    And a job of 1 task is submitted to a host that doesn't lead
    Then the store got 1 transaction for each of them

  Scenario: Most of a rise of demand in a slow store is served that can be
    Guards against waits for the store that no rule needs, one after the other.
    When 8 jobs are sent over 5.0 s
    And the store takes 0.2 s for each response
    And 40 jobs are sent over 5.0 s
    Then at least 0.8 of those that can be are completed in time

  Scenario: Hosts move to a pool as soon as a slow store names them
    The submission and the renewal that names the hosts take two responses,
    the leader's write before it one. The job fills five hosts.
    When 8.0 s pass
    And the store takes 0.75 s for each response
    And job "00000000000000b9" of 80 tasks is submitted
    And 2.0 s pass
    Then pool "press" has more than 3 hosts
    And pool "press" has fewer than 7 hosts

  Scenario: A leader that is told to stop keeps the lead while the store is slow
    Nothing would start for several responses while the lead changes. The
    handover follows the response on its way (0.7 s) and a renewal (0.6 s), the
    takeover a tick (0.1 s) and its delay (0.3 s).
    Given hosts stay in their pools
    When the store takes 0.7 s for each response
    And 2.0 s pass
    And the leader is told to stop
    And job "00000000000000bb" of 1 task is submitted within 0.8 s
    Then a task of job "00000000000000bb" starts within 1.6 s
    When the store takes 0.0 s for each response
    And 1.9 s pass
    Then another host leads

  Scenario: A new leader reads a slow store without waiting for each read
    After the submission, the notice of the release, the takeover, the reads of
    states, jobs and runners and an assignment take four responses, less what
    passed during the submission; the delay before a takeover takes 0.3 s.
    Given hosts stay in their pools
    When a job of 1 task is submitted for each partition
    And 3.0 s pass
    And the store takes 0.2 s for each response
    And the leader is told to stop
    And job "00000000000000b7" of 4 tasks is submitted to any host
    Then a task of job "00000000000000b7" starts within 1.0 s

  Scenario: A store that doesn't respond is detected within two seconds
    When the store stops responding
    And 1.9 s pass
    Then a submission is refused with 503 at once, as not run

  Scenario: A submission of unknown outcome is settled after a short outage
    When the store loses its next 1 responses
    And it then rejects all calls for 0.8 s
    Then a submission is answered with 200 within 1.3 s

  Scenario: No write is sent while another gets no response
    The caller may send its request to another host at once.
    When the store stops responding
    And a submission is sent and 0.4 s pass
    Then a submission is refused with 503 at once, as not run
    And the submission that was sent is answered with 504

  Scenario: One lost response doesn't make a host refuse submissions
    When the store loses its next 1 responses
    And a submission is sent and 0.3 s pass
    Then every host accepts a job

  Scenario: A new leader starts what waits with one write
    Guards against a limit on starts in progress that counts those which wait
    for the store, of which it allows a new leader 32. The reads and one write
    with the assignments and a renewal take two responses.
    Given hosts stay in their pools
    And tasks that run 30.0 s
    When the leader's partition of the store goes down
    And job "00000000000000bc" of 160 tasks is submitted
    And the leader is killed
    And the leader's partition of the store works again
    And the store takes 0.6 s for each response
    And another host has taken the lead
    And 1.5 s pass
    Then more than 100 tasks of job "00000000000000bc" have started
