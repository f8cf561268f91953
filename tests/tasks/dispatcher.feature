Feature: Dispatcher of an entry host

  Scenario: A team at its upper limit doesn't block the others
    Guards against a team that exceeds its limit, and against one that
    blocks the queue.
    Given a dispatcher for 4 runners, where team "a" may run 2
    When "a" submits 5 requests and then "b" submits 3
    Then 2 requests of "a" and 3 of "b" run
    When a request of "a" ends
    Then 2 requests of "a" and 3 of "b" run

  Scenario: Slots are divided by share while both teams wait
    Guards against a team that exceeds its share by submitting many
    requests at once.
    Given a dispatcher for 4 runners, where team "a" may run 32
    And "a" has share 3 and "b" has share 1
    When "a" submits 200 requests and then "b" submits 200
    And requests of 0.05 s are served for 4 seconds
    Then "a" has used between 2.9 and 3.1 times the slot time of "b"

  Scenario Outline: A runner that is taken out gets no new work
    Guards against new work on a draining runner or in a zone that is out.
    Given a dispatcher for 4 runners, where team "a" may run 32
    When the fleet state says that <what> is out
    And "a" submits 40 requests and then "b" submits 0
    Then no request runs at <what>
    And a dispatch to it violates an invariant

    Examples:
      | what     |
      | runner-0 |
      | az-a     |

  Scenario: The runner index agrees with the routing rule
    Guards against an index that omits a runner or lists it twice.
    When a dispatcher handles random requests, results, drains and zone changes
    Then the routing rule allows each choice, and all slots are free at the end

  Scenario: Half of the queue is cancelled in one pass
    Guards against many cancellations that block the event loop.
    Given a dispatcher for 4 runners, where team "a" may run 32
    When "a" submits 5000 requests and then "b" submits 0
    And half of the waiting requests are cancelled at once
    Then the other half waits in the same order

  Scenario: A request is refused when its deadline can't be met any more
    Guards against running stale requests, and against callers that wait
    for a refusal that is already certain.
    Given a dispatcher for 4 runners, where team "a" may run 32
    And runs of "a" take 1 s
    When "a" submits 100 requests that have 2.5 s left
    Then between 38 and 48 of them are accepted
    When no slot becomes free for 1.0 s
    Then the refusals say not-run before the deadline has passed

  Scenario: A retried request goes to another runner
    Guards against a retry on the runner that has just failed.
    Given a dispatcher for 4 runners, where team "a" may run 32
    When a request that avoids "runner-1" is submitted 20 times
    Then no request runs at runner-1

  Scenario: A withdrawn key's waiting requests are refused
    Guards against running a request whose key was withdrawn while it
    waited.
    Given a dispatcher for 4 runners, where team "a" may run 1
    When "a" submits 3 requests and its key is withdrawn
    Then 2 requests are refused with 401

  Scenario: Idle slots of the spare pool serve a burst
    Guards against spare slots that stay idle, and against work of other
    pools that is served before the spare pool's own.
    Given a dispatcher for 4 runners, where team "a" may run 99
    And a spare pool of 4 runners with its own queue
    When "a" submits 70 requests and then "b" submits 0
    Then 64 requests of "a" and 0 of "b" run
    When "b" submits 9 requests to the spare pool's queue
    And 9 requests end at the spare pool
    Then 55 requests of "a" and 9 of "b" run

  Scenario: A failing runner gets no requests, then a single trial request
    Guards against a runner that fails fast and therefore attracts all
    requests.
    Given a dispatcher for 4 runners, where team "a" may run 32
    When runner-2 answers 500 to every request for 2 seconds
    Then at most 9 requests reached runner-2
