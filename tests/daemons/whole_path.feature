Feature: Requests and tasks through real processes

  Scenario: A manifest is applied and a request reaches its runner
    Guards against a failure of any step between caller and upstream.
    Given a site with entry hosts "entry-1,entry-2" and runners "quote-1,quote-2"
    When a manifest with queue "quoting" and team "mills" is applied at "entry-1"
    And a key "mills-key" is granted to "mills" at "entry-1"
    And a caller sends "POST" "/q/quoting/price" to "entry-2" with key "mills-key" and body "insert 12"
    Then the answer has status 200 and belongs to body "insert 12"
    And the log of "entry-2" shows event 2001
    When a caller sends "POST" "/q/quoting/price" to "entry-2" with key "stolen" and body "insert 12"
    Then the answer has status 401 and verdict "not-run"

  Scenario: A task is placed on a worker and finishes
    Guards against a task that is stored and never started.
    Given a site with entry hosts "entry-1" and runners "quote-1"
    And a control daemon beside "entry-1" and a worker "worker-1"
    When a manifest with queue "quoting" and team "mills" is applied at "entry-1"
    And a task "warranty-1" of team "mills" is in the table
    Then the task "warranty-1" finishes within 10 seconds
    And the log of "entry-1-control" shows event 3001
