Feature: Connections between entry hosts

  Scenario: Messages reach the handler of their type, with their sender
    Guards against messages that are lost or attributed to another host.
    Given entry hosts "a" and "b" that know each other
    When "a" sends a probe with version 7 to "b"
    Then "b" receives a probe with version 7 from "a"
    And "a" has counted what "b" received

  Scenario: A host that isn't in its peers' settings can be reached
    Guards against a replacement host to which others can't send.
    Given entry hosts "a" and "c" of which only "c" knows the other
    When "c" has connected
    Then "a" can send a probe to "c"

  Scenario: A restarted host is reconnected and its old process refused
    Guards against a connection that isn't re-established, and against a
    previous process that still sends messages under the host's name.
    Given entry hosts "a" and "b" that know each other
    When "b" stops and starts again
    Then "a" receives a probe from the new "b" within 5 seconds
    And a connection of the old "b" is refused

  Scenario Outline: Bad input closes the connection with an event
    Guards against malformed input that crashes this host or is applied in
    part.
    Given entry host "a"
    When a connection sends <input>
    Then it is closed and event 1007 says "<detail>"
    And "a" still accepts a Hello

    Examples:
      | input                      | detail                     |
      | text instead of a frame    | announced a message of     |
      | a frame that isn't Capnp   | isn't a valid envelope     |
      | a message before its Hello | First message isn't        |
      | a Hello in the name of "a" | can't be used              |
      | a Hello and a bad restriction | Damaged data            |
      | half a frame and no Hello  | sent no Hello in time      |

  Scenario: A peer that doesn't read is disconnected
    Guards against a send queue that grows without bound.
    Given entry host "a" that knows a host that never reads
    When "a" sends it 24 MiB
    Then it is closed and event 1007 says "doesn't read"
    And at most 9 MiB were queued

  Scenario: Addresses of replaced hosts are removed
    Guards against reconnecting for ever to every address that was ever
    announced.
    Given entry host "a"
    When 100 hosts send a Hello one after another and disconnect
    Then "a" keeps at most 64 addresses and accepts one more
