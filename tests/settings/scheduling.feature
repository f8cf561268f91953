Feature: Settings of the scheduler's optional decisions

  Scenario: An empty section leaves every optional decision off
    Given a settings file
      """
      [scheduling]
      """
    Then no optional decision is in use

  Scenario: Only the decisions that the file names are in use
    Given a settings file
      """
      [scheduling]
      admission = yes
      forecast = no
      """
    Then only "admission" is in use

  Scenario: A misspelt decision is reported with the likely name
    Given a settings file
      """
      [scheduling]
      admision = yes
      """
    Then the file is rejected with "did you mean [scheduling] admission?"

  Scenario: A decision that is neither on nor off is reported
    Given a settings file
      """
      [scheduling]
      forecast = some
      """
    Then the file is rejected with "'some' is not a boolean"

  Scenario: The settings of the deployment are valid
    Given the settings file of the deployment
    Then it can be read
