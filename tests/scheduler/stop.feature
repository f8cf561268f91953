Feature: A host that is told to stop ends within its grace time
  It is killed at the end of that time, and then callers lose their responses.

  Background:
    Given a site with service "press" on 8 hosts and queue "fit"
    And tasks that run 2.0 s

  Scenario Outline: The host ends in time whatever is in its way
    Given a grace time of <grace> s for the leader
    When 20 jobs of 1 task are submitted
    And <obstacle>
    And the leader is told to stop and 30 s pass
    Then it has ended <least> to <most> s after that

    Examples:
      | grace | obstacle                                     | least | most |
      | 6     | 0.1 s pass                                   | 2.7   | 2.9  |
      | 6     | a request that is never answered arrives     | 4.9   | 5.1  |
      | 6     | a request that takes 4 s arrives             | 3.9   | 4.1  |
      | 6     | the store stops responding                   | 2.7   | 2.9  |
      | 6     | the store goes down                          | 2.7   | 2.9  |
      | 6     | the next hand-over fails                     | 2.7   | 2.9  |
      | 6     | the settings are reloaded with a grace of 3 s | 1.9  | 2.1  |
      | 3     | 0.1 s pass                                   | 1.9   | 2.1  |
      | 3     | a request that is never answered arrives     | 1.9   | 2.1  |
      | 1     | 0.1 s pass                                   | 0.0   | 0.4  |
      | 0     | 0.1 s pass                                   | 0.0   | 0.4  |
