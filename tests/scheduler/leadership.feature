Feature: Change of the leader

  Background:
    Given a site with service "press" on 8 hosts and queue "fit"

  Scenario: A planned handover neither stops nor repeats a task
    Given tasks that run 3.0 s
    When job "00000000000000a1" of 40 tasks is submitted
    And 1.0 s pass
    And the leader is told to stop
    And 9.0 s pass
    Then job "00000000000000a1" is "completed"
    And no task ran twice
    And no task was stopped
    And each task of job "00000000000000a1" started once

  Scenario: Tasks survive a killed leader and aren't started twice
    Given tasks that run 4.0 s
    When job "00000000000000a2" of 40 tasks is submitted
    And 1.0 s pass
    And the leader is killed
    And 12.0 s pass
    Then job "00000000000000a2" is "completed"
    And no task ran twice
    And no task was stopped
    And each task of job "00000000000000a2" started once

  Scenario: Task ends that weren't acknowledged aren't lost in a takeover
    Given tasks that run 0.3 s
    When job "00000000000000a3" of 40 tasks is submitted
    And 0.2 s pass
    And the leader is killed
    And 12.0 s pass
    Then job "00000000000000a3" is "completed"
    And no task ran twice

  Scenario: A host that is told to stop while it takes over leads no term
    Guards against a leader whose process ends seconds later.
    When the leader is killed
    And the host that takes over is told to stop before the store responds
    And 0.7 s pass
    Then another host leads
    When 3.0 s pass
    Then another host leads

  Scenario: A killed leader is replaced within 3.5 seconds
    When the leader is killed
    And 3.5 s pass
    Then a host leads

  Scenario: A restarted leader sends commands for hosts at once
    Given tasks that run 3.0 s
    When 12.0 s pass
    And the leader is killed and restarted
    And job "00000000000000a4" of 100 tasks is submitted
    And 2.0 s pass
    Then a host has got a command since

  Scenario: A new leader commands hosts without recent commands at once
    Guards against waiting for the lease of hosts that got no command.
    Given tasks that run 3.0 s
    When 12.0 s pass
    And the leader is told to stop
    And 0.6 s pass
    And job "00000000000000a5" of 100 tasks is submitted
    And 0.6 s pass
    Then the new leader has sent a command for a host

  Scenario: A new leader sends no command to hosts with recent commands
    Guards against two senders of commands for one host within its lease.
    Given tasks that run 0.2 s
    When 12.0 s pass
    And job "00000000000000a6" of 100 tasks is submitted
    And 1.4 s pass
    And the leader is told to stop
    And a wave of all hosts within 8 s with 8 down at once is requested
    And 7.0 s pass
    Then the new leader has sent a command for a host
    And each host gets commands from one sender within its lease

  Scenario: A replaced leader's command that was held up isn't sent
    Guards against a command of a lower token after one of a higher token.
    Given tasks that run 3.0 s
    When 12.0 s pass
    And the leader's connections to the hosts API open 5.0 s late
    And job "00000000000000a7" of 100 tasks is submitted
    And 0.3 s pass
    And the store rejects the leader for 8.0 s
    And 1.5 s pass
    Then another host leads
    When 7.0 s pass
    Then the new leader has sent a command for a host

  Scenario: A released leader extends no lease that its successor can't know
    Guards against a response to the release of the lead that gets lost.
    Given hosts stay in their pools
    And tasks that run 20.0 s
    When job "00000000000000a8" of 20 tasks is submitted
    And 2.0 s pass
    And only the leader can reach a runner with tasks
    And the store's responses to the leader are lost
    And the leader is told to stop
    And 9.0 s pass
    Then every task of job "00000000000000a8" runs
    And no task ran twice

  Scenario: A silent leader's leases count beyond the term that replaced it
    Guards against tasks that are started again while the leader before the
    previous one still extends the leases of their runner.
    Given host "c" sees that host "a" leads and is silent
    When host "b" takes over from the silent leader at 10.0 s
    And the process of host "b" ends before its first renewal
    Then the takeover of host "c" at 10.5 s allows for leases still extended

  Scenario: A silent leader's leases count after the renewals of the next one
    Given host "c" sees that host "a" leads and is silent
    When host "b" takes over from the silent leader at 10.0 s
    And host "b" renews, and says that leases may be extended until 13.0 s
    And host "b" releases the row at 11.0 s
    Then the takeover of host "c" at 11.5 s counts leases from 13.0 s on

  Scenario: A released leader's leases count beyond the next term
    Guards against the same within the second for which a leader that gets no
    response to its release extends leases.
    Given host "c" sees that host "a" leads and is silent
    When host "a" releases the row at 10.0 s and extends leases until 11.0 s
    And host "b" takes over from the released leader at 10.2 s
    And the process of host "b" ends before its first renewal
    Then the takeover of host "c" at 10.5 s counts leases from 11.0 s on

  Scenario: A leader without the store extends leases beyond a lost takeover
    Guards against the same where the takeover's response was lost, so that a
    host takes over from itself.
    Given hosts stay in their pools
    And tasks that run 20.0 s, many of which fail first, 0.4 s apart
    When job "00000000000000ab" of 20 tasks is submitted
    And 2.0 s pass
    And the leader reaches only the runners, and one of them only it
    And the store loses its next 1 responses
    And 14.0 s pass
    Then no task ran twice

  Scenario: A leader that refuses connections may still extend leases
    Guards against tasks that are started again while their runner, which only
    the previous leader reaches, goes on with them (review/11).
    Given hosts stay in their pools
    And tasks that run 20.0 s
    When job "00000000000000ad" of 20 tasks is submitted
    And 2.0 s pass
    And the leader reaches only the runners, and one of them only it
    And connections to its host are refused
    And 14.0 s pass
    Then no task ran twice
    And every task of job "00000000000000ad" runs

  Scenario: A refused connection delays no start beside a runner that responds
    Guards against waiting for the leases of a leader that was killed.
    Given hosts stay in their pools
    And tasks that run 4.0 s
    When job "00000000000000ae" of 20 tasks is submitted
    And 1.0 s pass
    And the leader is killed
    And job "00000000000000af" of 1 task is submitted within 3 s
    And 1.5 s pass
    Then a task of job "00000000000000af" has started

  Scenario: A lease that a released leader extended last isn't cut short
    Guards against counting leases only from the takeover of its successor.
    Given hosts stay in their pools
    And tasks that run 20.0 s
    When job "00000000000000aa" of 20 tasks is submitted
    And 3.6 s pass
    And only the leader can reach a runner with tasks
    And the store's responses to the leader are lost
    And the leader is told to stop
    And 9.0 s pass
    Then every task of job "00000000000000aa" runs
    And no task ran twice

  Scenario: A command whose confirmation took long isn't sent late
    Guards against a command after the time that later leaders were told.
    Given tasks that run 3.0 s
    When 12.0 s pass
    And the store takes 0.5 s for each response
    And 4.0 s pass
    And the store takes 0.0 s for each response
    And job "00000000000000a9" of 100 tasks is submitted
    And the store's responses to the leader are lost for 1.0 s
    And 3.0 s pass
    Then each command of the last 3.0 s was sent before its announced time

  Scenario: A strong host takes over before a weak one
    Given host "entry-1" has 0.5 processors and a link of 10 Mbit/s
    When the leader other than "entry-1" is killed
    And 6.0 s pass
    Then a host other than "entry-1" leads

  Scenario: A leader whose process has ended is replaced within 1.2 seconds
    Guards against waiting for the lease of a process that has ended.
    When the leader is killed
    And 1.2 s pass
    Then a host leads

  Scenario: A leader that the store rejects gives up within 1.3 seconds
    Guards against waiting for the lease of a leader that can be queried.
    When the store rejects the leader for 6.0 s
    And 1.3 s pass
    Then another host leads

  Scenario: A leader without store responses gives up within 1.8 seconds
    When the store doesn't respond to the leader for 6.0 s
    And 1.8 s pass
    Then another host leads

  Scenario: An isolated leader is replaced only after its lease expires
    When the leader is isolated from the network
    And 1.7 s pass
    Then no other host leads
    When 1.1 s pass
    Then another host leads

  Scenario: A leader keeps its term while the store is slow for all hosts
    When the store takes 0.5 s for each response
    And 10.0 s pass
    Then no other host leads

  Scenario: A leader keeps its term while the store is down for all hosts
    When the store is down for 1.5 s
    Then no other host leads

  Scenario: A leader keeps its term while its partition is down for all
    Guards against a leader that gives up although no host can take over.
    When the leader's partition of the store is down for 3.0 s
    Then the same host leads

  Scenario: Rows without a renewal don't extend the leader's term
    Guards against two leaders: the others see only the renewals.
    Given the leader writes no more renewals
    When 40 jobs are submitted over 4.0 s
    And 1.0 s pass
    Then another host leads
    And no task ran twice

  Scenario: A new leader that hasn't read the jobs yet publishes no counts
    Guards against callers that are told that no job waits.
    Given tasks that need more than any host has
    And 6 jobs of 1 task were submitted 1.0 s ago
    When the leader is killed
    And the store takes 0.2 s for each response
    Then for 5.0 s each count of pending jobs is at least 3, or refused

  Scenario: A job stored while a new leader reads the partitions is started
    Guards against losing a job of a partition that was read before the
    version after which the leader follows the changes.
    Given tasks that run 0.5 s
    When job "00000000000000a8" of 1 tasks is submitted
    And 2.0 s pass
    And job "f0000000000000a8" is stored once a leader has read one partition
    And the leader is killed
    And 6.0 s pass
    Then job "f0000000000000a8" is "completed"
    And each task of job "f0000000000000a8" started once

  Scenario: Counts of a silent leader aren't taken as new when read again
    Guards against callers that are told counts from before the leader fell
    silent, for longer than such counts may be shown.
    Given tasks that need more than any host has
    And 1 jobs of 1 task were submitted 1.0 s ago
    When the leader is isolated from the network
    And the store takes 0.4 s for each response
    And 10 jobs of 1 task are submitted to the other hosts at once
    And 4.2 s pass
    Then for 4.0 s each count of pending jobs is at least 5, or refused

  Scenario: A started host doesn't take old counts as new
    Guards against callers that are told counts from before an outage of all
    hosts.
    Given tasks that need more than any host has
    And 1 jobs of 1 task were submitted 1.0 s ago
    When the leader is isolated from the network
    And 10 jobs of 1 task are submitted to the other hosts at once
    And all hosts are killed and one restarts 5.0 s later
    Then for 4.0 s each count of pending jobs is at least 5, or refused

  Scenario Outline: A leader that may have been replaced commands no runner
    Guards against a stop or a pace that is decided before a freeze and obeyed
    by a runner that doesn't know the next leader yet.
    Given tasks that run 20 s
    When job "00000000000000c7" of 4 tasks is submitted
    And 1.0 s pass
    And the leader reaches nothing but runners
    And 2.0 s pass
    And that leader decides to <command> a task
    And 0.3 s pass
    Then no runner got that command

    Examples:
      | command |
      | stop    |
      | pace    |
