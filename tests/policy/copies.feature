Feature: Copies of slow tasks
  A second run of a task is started once the first one's progress, or its
  running time, shows that a fresh run elsewhere would end well before it.

  Scenario: A run whose progress foretells a late end is copied
    Given a run that has run 0.5 s and has done 7 percent of its work
    And other tasks of the step that ran 0.8, 0.9 and 1.1 s
    Then it is copied, as its progress foretells a late end

  Scenario: A run about as fast as the others isn't copied
    Given a run that has run 0.5 s and has done 40 percent of its work
    And other tasks of the step that ran 0.8, 0.9 and 1.1 s
    Then it isn't copied

  Scenario: A slow run that is nearly done isn't copied
    Given a run that has run 5.5 s and has done 90 percent of its work
    And other tasks of the step that ran 0.8, 0.9 and 1.1 s
    Then it isn't copied

  Scenario: Without reported progress the running time decides
    Given a run that has run 2.0 s and has reported no progress
    And other tasks of the step that ran 0.8, 0.9 and 1.1 s
    Then it is copied, as it runs longer than others

  Scenario: A declared time that may be off by half needs more evidence
    Given a run that has run 2.0 s and has reported no progress
    And tasks of the step that are expected to run 0.9 s
    Then it isn't copied

  Scenario: A run that stands out only from tasks on its own runner counts
    Guards against a runner on which all tasks are slow.
    Given a run that has run 2.0 s and has done 16 percent of its work
    And other tasks on the same runner that take 12.0, 12.5 and 13.0 s
    And tasks of the step that are expected to run 1.8 s
    Then it is copied, as its progress foretells a late end

  Scenario: Tasks of a step that are all longer than declared aren't copied
    Given a run that has run 2.0 s and has done 50 percent of its work
    And other tasks of the step that ran 3.8, 4.0 and 4.4 s
    And tasks of the step that are expected to run 1.0 s
    Then it isn't copied

  Scenario: A job that is too late to be of use gets no copy
    Given a run that has run 0.5 s and has done 7 percent of its work
    And other tasks of the step that ran 0.8, 0.9 and 1.1 s
    And a job that is of no use after 0.9 s
    Then it isn't copied

  Scenario: A run that was resumed is judged by what it did since
    Given a run that was at 60 percent 1.2 s ago and is at 63 percent now
    And other tasks of the step that ran 0.8, 0.9 and 1.1 s
    Then it is copied, as its progress foretells a late end

  Scenario: Copies save most jobs with a task in the tail
    Given 800 jobs of 8 tasks of which 3 in 100 run 7 times as long
    Then without copies under 0.8 of them meet their objective
    And with copies at least 0.95 of those that do when all tails are known before
    And copies use fewer core-seconds than the tails that they replace
    And under 0.02 of the jobs without a task in the tail are copied

  Scenario: Copies that never end first are soon left out
    When 5 copies have run a whole run in vain
    Then no further copy may start
    And after 10.0 s one may

  Scenario: Copies that end first in one of three cases go on
    When 1 copy in 3 of 60 copies ended first
    Then a further copy may start

  Scenario: Tasks that are long wherever they run cost few copies
    Guards against copies of tasks whose own work is large.
    Given 800 jobs of 8 tasks of which 3 in 100 have 7 times the work
    Then under 0.03 of the jobs get a copy
    And copies use at most 0.01 more core-seconds
