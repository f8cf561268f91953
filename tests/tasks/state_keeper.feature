Feature: Fleet state of six entry hosts with the real change code

  Every scenario checks throughout that no host's version decreases, that
  no host admits a withdrawn key or a zone that is out more than 3 s after
  the table accepted the change, and that no seat is used twice.

  Background:
    Given six entry hosts with seats under seed 1

  Scenario: A change is in force everywhere within its bounds
    Guards against a commit that isn't sent or doesn't reach a host.
    When "entry-2" withdraws the key "mills-key"
    Then the answer has status 200 and says 6 of 6 hosts
    And no host admits the key "mills-key" after 0.1 seconds
    And all hosts have the stored state within 0.5 seconds

  Scenario Outline: Restrictions apply although <fault>
    Guards against a host that admits work under a state it can't confirm.
    Given <fault> as soon as the table accepts a change
    When "entry-2" withdraws the key "mills-key"
    And "entry-2" takes out the zone "az-a" if it can
    Then no host admits the key "mills-key" after 3.0 seconds
    When the fault ends after 60 seconds
    Then all hosts have the stored state within 5 seconds

    Examples:
      | fault                                      |
      | the store goes down                        |
      | "entry-5" is paused                        |
      | "entry-5" receives no messages             |
      | "entry-5" reaches no other host            |
      | the store and "entry-5" fail               |
      | the maker "entry-2" and the store fail     |
      | every message to "entry-5,entry-6" is lost |

  Scenario Outline: A host that gets answers but no changes, <fault>
    Guards against a confirmation by a peer that has a newer state, or that
    has restarted and forgotten what it acknowledged.
    Given "entry-6" gets no messages about changes, and <fault> later
    When "entry-2" withdraws the key "mills-key"
    Then no host admits the key "mills-key" after 3.0 seconds
    When the fault ends after 30 seconds
    Then all hosts have the stored state within 15 seconds

    Examples:
      | fault                                       |
      | the store goes down                         |
      | the maker "entry-2" and the store fail      |
      | all other hosts restart with the store down |

  Scenario: Answers that arrived during a pause don't renew freshness
    Guards against freshness measured from when an answer is read.
    Given "entry-5" is paused right after it probed its peers
    When "entry-2" withdraws the key "mills-key"
    And the fault ends after 30 seconds
    Then no host admits the key "mills-key" after 3.0 seconds

  Scenario Outline: Late answers of the store renew freshness from the request, <phase>
    Guards against freshness measured from when the store's answer arrives.
    Given every message to "entry-6" is lost
    And the store answers reads 1.9 seconds late
    And <phase> seconds pass
    When "entry-2" withdraws the key "mills-key"
    Then no host admits the key "mills-key" after 3.0 seconds

    Examples:
      | phase |
      | 0.1   |
      | 0.5   |
      | 0.9   |
      | 1.3   |
      | 1.7   |

  Scenario: A prepared restriction applies before the change is written
    Guards against freshness confirmed by peers that don't know the change.
    Given every message to "entry-6" is lost
    When "entry-2" withdraws the key "mills-key" while the store answers after 1.5 seconds
    Then no host but "entry-6" admits the key "mills-key" after 0.3 seconds

  Scenario: A prepared restriction is forwarded
    Guards against a host that depends on its connection to the maker.
    Given "entry-6" receives no messages of "entry-2"
    When "entry-2" withdraws the key "mills-key" while the store answers after 3.0 seconds
    Then no host admits the key "mills-key" before the change is written

  Scenario: A host that is behind acknowledges only after it has caught up
    Guards against a majority that can confirm a state two versions old.
    When "entry-3" gets a prepared change two versions ahead
    Then it acknowledges only once it has the version in between

  Scenario: An older state is never put in force
    Guards against a late answer that reverts an accepted change.
    Given "entry-2" withdraws the key "mills-key"
    When "entry-3" is given the previous state by a peer and by the store
    Then all hosts have the stored state within 0.5 seconds

  Scenario: A write whose answer is lost is recognised by its token
    Guards against reporting a wrong result for such a write.
    Given the store loses every answer to a write
    When "entry-1,entry-2,entry-3" grant 2 keys each in turn
    Then every answer agrees with the table
    And every answer has status 200

  Scenario: Two operators change the same version
    Guards against a change that overwrites another one unseen.
    When "entry-1" and "entry-4" change the limit from the same version
    Then one answer has status 200 and one 409 with the accepted version
    And the refused operator is told that "manifest.teams[mills]" changed
    And all hosts have the stored state within 1 seconds

  Scenario: Too few seats acknowledge
    Guards against a restriction that a majority hasn't received.
    Given every message to "entry-4,entry-5,entry-6" is lost
    When "entry-1" withdraws the key "mills-key"
    Then the answer has status 503 and the version is unchanged
    And all of "entry-1,entry-2,entry-3" admit the key "mills-key" within 1 seconds

  Scenario: The maker is killed before it writes
    Guards against restrictions that are never lifted.
    When "entry-2" is killed right after a majority prepared to withdraw "mills-key"
    Then every live host admits the key "mills-key" within 15 seconds
    And a late write of the killed maker is refused

  Scenario: The maker is killed while the store is down
    Guards against lifting a restriction that may have been accepted.
    Given the store goes down
    When "entry-2" is killed right after a majority prepared to withdraw "mills-key"
    Then after 30 seconds every live host is fresh and refuses the key "mills-key"
    When the store is up again
    Then every live host admits the key "mills-key" within 15 seconds

  Scenario: A host starts while the store is down
    Guards against a host that can't start during an outage.
    Given the store goes down
    When "entry-3" is restarted
    Then "entry-3" is fresh at the stored version within 3 seconds
    And "entry-3" holds no seat

  Scenario: The store is down for a long time
    Guards against an outage of the store that stops callers' requests.
    Given the store goes down
    And 2 hosts are killed
    Then every live host stays fresh for 120 seconds
    When "entry-1" withdraws the key "mills-key"
    Then the answer has status 503 and the version is unchanged

  Scenario: A dead host's seat is taken over
    Guards against using a base part that its previous holder may still use.
    When "entry-6" is killed and "entry-7" starts in its place
    Then "entry-7" holds the seat of "entry-6" with epoch 2 within 15 seconds
    And it may use its base 34 seconds after that

  Scenario: A host that left is forgotten
    Guards against probing every host that ever existed.
    When "entry-7" starts and leaves after 5 seconds
    Then no other host counts "entry-7" any more 70 seconds later

  Scenario: A briefly paused holder keeps its seat
    Guards against taking over a seat because of the host list alone.
    Given the host list is empty
    When "entry-6" is paused for 8 seconds while "entry-7" starts
    Then "entry-6" still holds its seat

  Scenario: A holder that other hosts reach keeps its seat
    Guards against taking over a seat because one connection is lost.
    Given the host list is empty
    When "entry-7" starts and gets no messages of "entry-6" for 15 seconds
    Then "entry-6" still holds its seat

  Scenario: All hosts are restarted at once
    Guards against seats that no remaining majority can hand over.
    When every host is restarted
    Then every seat has epoch 2 within 30 seconds
    And a change is accepted at "entry-1"

  Scenario: Three hosts release their seats at once and all hosts restart
    Guards against released seats that no remaining majority can assign.
    When "entry-1,entry-2,entry-3" release their seats and every host restarts
    Then a change is accepted at "entry-1"

  Scenario Outline: Random faults under seed <seed>
    Guards against combinations that no other scenario covers.
    When random faults and changes occur for 60 seconds under seed <seed>
    Then every answer agrees with the table
    And all hosts have the stored state within 30 seconds

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |
