Feature: Real entry hosts keep their promises under faults

  Scenario: Three hosts under kills, pauses, cut links and crashed runners
    When the soak runs with seed 1 for 8 s
    Then it reports no violation and tasks that were done
