Feature: Messages between entry hosts

  Scenario: Every message type survives encoding and decoding
    Guards against a field whose name or type differs from the schema.
    When each message type is encoded and decoded
    Then each equals the original

  Scenario Outline: Malformed data from a peer is rejected
    Guards against a crash or an unbounded buffer on malformed input.
    When <bytes> are decoded
    Then a message error is raised

    Examples:
      | bytes            |
      | random bytes     |
      | a cut message    |
      | too many bytes   |

  Scenario: An unknown member from a newer peer is ignored
    Guards against a newer peer that breaks an older one during a rolling
    upgrade.
    When an envelope with an unknown member is decoded
    Then there is no message and no error
