Feature: A planned stop cuts off no request

  Scenario: A rolling restart of all six entry hosts under load
    Guards against requests that a stop refuses, cuts off or runs twice.
    Given a site with entry hosts "entry-1,entry-2,entry-3,entry-4,entry-5,entry-6" and runners "quote-1,quote-2"
    And its queue "quoting" serves team "mills" with key "mills-key"
    When 6 callers behind a balancer send requests while each entry process is restarted
    Then no request was cut off, refused or run more than once

  Scenario: A stopping process turns unready, closes its port and finishes
    Guards against connections that are refused because the balancer
    notices the stop too late, and against a running request that is cut
    off.
    Given a site with entry hosts "entry-1" and runners "quote-1"
    And its queue "quoting" serves team "mills" with key "mills-key"
    When "entry-1" gets SIGTERM while a request of 4 s runs
    Then it is unready at once and still answers with "Connection: close"
    And it refuses connections after 3 s
    And the request of 4 s is answered whole and the process ends with 0
