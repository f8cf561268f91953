Feature: Admission control

  Scenario Outline: A request may wait or is refused at once with the reason
    Guards against a caller that waits in vain, and against a wrong reason.
    Given <waiting> waiting and <running> running requests of the team
    And <entitled> of 64 slots for it, a limit of <limit>, and others: <others>
    And run times of 0.1 s that vary by 0.02 s
    When a request that has <remaining> s left asks for admission
    Then the admission decision is <status> <problem>

    Examples:
      | waiting | running | entitled | limit | others | remaining | status | problem         |
      | 0       | 0       | 8        | 64    | no     | 0.01      | 0      | -               |
      | 0       | 7       | 8        | 64    | no     | 0.15      | 0      | -               |
      | 40      | 8       | 8        | 64    | no     | 2.0       | 0      | -               |
      | 400     | 8       | 8        | 64    | no     | 2.0       | 503    | pool-full       |
      | 400     | 8       | 8        | 64    | yes    | 2.0       | 429    | team-share      |
      | 400     | 8       | 8        | 8     | yes    | 2.0       | 429    | team-limit      |
      | 0       | 8       | 8        | 64    | no     | 0.05      | 503    | pool-full       |
      | 0       | 0       | 8        | 64    | no     | 0         | 504    | deadline-passed |

  Scenario Outline: Queues are limited in count and bytes
    Guards against a burst that exhausts the memory.
    When a request asks a host with <queued> requests and <bytes> MiB, <own> of the team
    Then the admission decision is <status> <problem>

    Examples:
      | queued | bytes | own  | status | problem         |
      | 19999  | 1     | 10   | 0      | -               |
      | 20000  | 1     | 10   | 503    | queue-full      |
      | 10     | 64    | 10   | 503    | queue-full      |
      | 6000   | 1     | 5000 | 429    | team-queue-full |

  Scenario: The mean run time follows the measured runs
    Guards against expected waits that are based on a declared run time.
    When 200 runs take 0.3 s each after 50 that took 0.01 s
    Then the mean run time is within 0.01 s of 0.3 s

  Scenario: Requests whose turn comes too late are refused early
    Guards against a request that waits in vain until shortly before its
    deadline.
    When 100 requests with 1.0 s left wait for 4 slots at 0.1 s each
    Then the first 36 to 38 keep waiting and the others are refused
