Feature: The public modules

  Scenario: The example in the documentation of the library runs
    Guards against an example that no longer matches the code.
    When the example in "docs/library.md" is run
    Then the process exits without an error

  Scenario: The public modules import neither the daemons nor Twisted
    Guards against unneeded imports in programs that embed the library.
    When only the public modules are imported
    Then neither a daemon nor Twisted is imported
