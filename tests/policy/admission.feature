Feature: Admission of jobs from the leader's estimate

  Scenario Outline: Callers of jobs without use are told at once when <load>
    The order of jobs alone already uses the whole capacity for jobs in time,
    so that admission can't add to them. It must take few away.
    Given a pool of 10 slots for jobs that run 1 s, due after 2.2 s
    When <load>
    Then with admission at least <in_time> of the jobs in time without it are
    And at least <of_use> of the jobs of use without it are
    And at least <told> callers of useless jobs are told at once
    And no more jobs are in time than the pool has room for

    Examples:
      | load                                                                 | in_time | of_use | told |
      | a day of bursts of 5 times the mean arrives                          | 0.98    | 0.98   | 10   |
      | twice the room arrives for 30 s                                      | 0.98    | 0.98   | 80   |
      | five times the room arrives for 10 s                                 | 0.98    | 0.94   | 200  |
      | one of two teams floods the pool at 80 jobs a second                 | 0.96    | 0.93   | 500  |
      | 20 teams of skewed sizes ask for 1.1 times to 13 times their weights | 0.96    | 0.92   | 140  |

  Scenario: A flood of one team costs another team no job in time
    Given a pool of 10 slots for jobs that run 1 s, due after 2.2 s
    When one of two teams floods the pool at 80 jobs a second
    Then every job of the other team is in time

  Scenario Outline: A job is refused only by a certain and fresh estimate
    Given an estimate of a queue with <load>
    Then at an age of <age> s a job is "<reason>"

    Examples:
      | load                        | age | reason                         |
      | little work                 | 0.1 | can end in time                |
      | work of late jobs only      | 0.1 | can end in time                |
      | work that must start soon   | 0.1 | can end while it is of use     |
      | more work than it can serve | 0.1 | can't end in time to be of use |
      | more work than it can serve | 2.6 | old estimate                   |
      | more work than moving hosts | 0.1 | can end in time                |
      | no capacity that is known   | 0.1 | no estimate                    |

  Scenario: Kinds of jobs that are never refused
    Then a long-running job may not be refused
    And a job with due times may not be refused
    And a job of tasks that end may be refused

  Scenario Outline: No room is in the parts of two hosts
    Given <listed> hosts accepted jobs recently, the first one <first> jobs
    Then for any room the parts of all hosts together are at most the room
    And a host that isn't listed gets a part of the reserve

    Examples:
      | listed | first |
      | 1      | 1     |
      | 3      | 40    |
      | 45     | 3     |

  Scenario: A host whose part is used up refuses, others don't
    Given an estimate of a queue with room for a few late jobs
    Then a host that has accepted its part refuses a job
    And a host that has accepted less takes it
    And a caller that came back as told is taken by both

  Scenario: Returns of refused callers are spread over the freed capacity
    Given capacity for 10 callers a second frees up in 2.5 s
    When 40 callers are refused at once whose jobs are of use for 5 s
    Then they are told whole seconds from 3 on
    And no second is told to more than 7 callers
    And those for whom there is no useful second are told when the queue is normal

  Scenario: A caller that was refused before may use what others leave free
    Given capacity for 10 callers a second frees up in 2.5 s
    When 7 callers are refused at once whose jobs are of use for 3 s
    Then a further caller is told a time after 3 s
    But a further caller that was refused before is told 3 s
