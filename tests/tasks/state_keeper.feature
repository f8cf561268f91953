Feature: Fleet state over six state keepers and the real change code

  Every scenario checks throughout that no host's version goes back, that
  none admits a withdrawn key or a zone that is out more than 3 s after
  the table accepted the change, and that no seat is used twice.

  Background:
    Given six entry hosts with seats under seed 1

  Scenario: A change is in force everywhere within its bounds
    Guards against a commit that isn't sent, or a host that misses it.
    When "entry-2" withdraws the key "mills-key"
    Then the answer has status 200 and says 6 of 6 hosts
    And no host admits the key "mills-key" after 0.1 seconds
    And all hosts have the stored state within 0.5 seconds

  Scenario Outline: Restrictions bind although <trouble>
    Guards against a host that goes on under what it can't confirm.
    Given <trouble> as soon as the table accepts a change
    When "entry-2" withdraws the key "mills-key"
    And "entry-2" takes out the zone "az-a" if it can
    Then no host admits the key "mills-key" after 3.0 seconds
    When the trouble ends after 60 seconds
    Then all hosts have the stored state within 5 seconds

    Examples:
      | trouble                                 |
      | the store goes down                     |
      | "entry-5" is paused                     |
      | "entry-5" hears nobody                  |
      | "entry-5" is heard by nobody            |
      | the store and "entry-5" fail            |
      | the maker "entry-2" dies and the store  |
      | every message to "entry-5,entry-6" is lost |

  Scenario Outline: A host that gets answers but no news, <trouble>
    Guards against a confirmation by a peer that knows more, or that has
    been started again and forgotten what it acknowledged.
    Given "entry-6" gets no news of changes, and <trouble> later
    When "entry-2" withdraws the key "mills-key"
    Then no host admits the key "mills-key" after 3.0 seconds
    When the trouble ends after 30 seconds
    Then all hosts have the stored state within 15 seconds

    Examples:
      | trouble                                    |
      | the store goes down                        |
      | the maker "entry-2" dies and the store     |
      | the store and all other hosts start again  |

  Scenario: Answers that waited through a pause don't refresh
    Guards against freshness counted from when an answer is read.
    Given "entry-5" is paused right after it asked its peers
    When "entry-2" withdraws the key "mills-key"
    And the trouble ends after 30 seconds
    Then no host admits the key "mills-key" after 3.0 seconds

  Scenario Outline: Late answers of the store refresh from their question, <phase>
    Guards against freshness counted from when the store's answer arrives.
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

  Scenario: A prepared restriction is obeyed before the change is written
    Guards against freshness by peers that haven't heard of the change.
    Given every message to "entry-6" is lost
    When "entry-2" withdraws the key "mills-key" while the store answers after 1.5 seconds
    Then no host but "entry-6" admits the key "mills-key" after 0.3 seconds

  Scenario: A prepared restriction is passed on
    Guards against a host that waits for the one connection that is lost.
    Given "entry-6" hears nothing of "entry-2"
    When "entry-2" withdraws the key "mills-key" while the store answers after 3.0 seconds
    Then no host admits the key "mills-key" before the change is written

  Scenario: A host that is behind acknowledges only after it has caught up
    Guards against a majority that can still confirm two versions back.
    When "entry-3" gets a prepared change two versions ahead
    Then it acknowledges only once it has the version between

  Scenario: An older state is never put in force
    Guards against a late answer that takes back an accepted change.
    Given "entry-2" withdraws the key "mills-key"
    When "entry-3" is given the state before by a peer and by the store
    Then all hosts have the stored state within 0.5 seconds

  Scenario: A lost answer is settled by the token in the row
    Guards against guessing what became of a write.
    Given the store loses every answer to a write
    When "entry-1,entry-2,entry-3" grant 2 keys each in turn
    Then every answer agrees with the table
    And every answer has status 200

  Scenario: Two operators race
    Guards against a change that overwrites one it hasn't seen.
    When "entry-1" and "entry-4" change the limit from the same version
    Then one answer has status 200 and one 409 with the winner's version
    And the loser is told that "manifest.teams[mills]" changed
    And all hosts have the stored state within 1 seconds

  Scenario: Too few seats acknowledge
    Guards against a restriction that a majority hasn't heard.
    Given every message to "entry-4,entry-5,entry-6" is lost
    When "entry-1" withdraws the key "mills-key"
    Then the answer has status 503 and the version is unchanged
    And all of "entry-1,entry-2,entry-3" admit the key "mills-key" within 1 seconds

  Scenario: The maker dies before it writes
    Guards against restrictions that stay for ever.
    When "entry-2" dies right after a majority prepared to withdraw "mills-key"
    Then every live host admits the key "mills-key" within 15 seconds
    And a late write of the dead maker is refused

  Scenario: The maker dies and the store is down
    Guards against lifting a restriction that may have been accepted.
    Given the store goes down
    When "entry-2" dies right after a majority prepared to withdraw "mills-key"
    Then after 30 seconds every live host is fresh and refuses the key "mills-key"
    When the store is up again
    Then every live host admits the key "mills-key" within 15 seconds

  Scenario: A host starts while the store is down
    Guards against a host that can't start in an outage.
    Given the store goes down
    When "entry-3" is started again
    Then "entry-3" is fresh at the stored version within 3 seconds
    And "entry-3" holds no seat

  Scenario: The store is down for long
    Guards against an outage that stops callers' work.
    Given the store goes down
    And 2 hosts are killed
    Then every live host stays fresh for 120 seconds
    When "entry-1" withdraws the key "mills-key"
    Then the answer has status 503 and the version is unchanged

  Scenario: A dead host's seat is taken over
    Guards against a base part that is used while its old holder may use it.
    When "entry-6" dies and "entry-7" starts in its place
    Then "entry-7" holds the seat of "entry-6" with epoch 2 within 15 seconds
    And it may use its base 34 seconds after that

  Scenario: A host that came and went is forgotten
    Guards against probing every host that there ever was.
    When "entry-7" starts and leaves after 5 seconds
    Then no other host counts "entry-7" any more 70 seconds later

  Scenario: A paused holder keeps its seat from a host that lists it as live
    Guards against taking a seat on the word of the host list alone.
    Given the host list names nobody
    When "entry-6" is paused for 8 seconds while "entry-7" starts
    Then "entry-6" still holds its seat

  Scenario: A holder that others hear keeps its seat
    Guards against taking a seat because one connection is lost.
    Given the host list names nobody
    When "entry-7" starts and can't hear "entry-6" for 15 seconds
    Then "entry-6" still holds its seat

  Scenario: All hosts are started again at once
    Guards against seats that no majority is left to hand over.
    When every host is started again
    Then every seat has epoch 2 within 30 seconds
    And a change is accepted at "entry-1"

  Scenario: Three hosts leave their seats at once and all start again
    Guards against released seats that no majority is left to hand out.
    When "entry-1,entry-2,entry-3" leave their seats and every host starts
    Then a change is accepted at "entry-1"

  Scenario Outline: Faults at random under seed <seed>
    Guards against combinations that no other scenario names.
    When faults and changes come at random for 60 seconds under seed <seed>
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
