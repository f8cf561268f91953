Feature: The public parts

  Scenario: The example of the library's page runs as it stands
    Guards against a page whose example no longer fits the code.
    When the example of "docs/library.md" is run
    Then it ends without an error

  Scenario: The public parts import none of the daemons
    Guards against an embedding program that loads the daemons' stack.
    When the public parts are imported alone
    Then neither a daemon nor Twisted is loaded
