Feature: Requests of any form about jobs
  Whatever a job caller sends, it gets a response or its connection is closed, and
  the next caller is served.

  Background:
    Given a host that answers each request about a job with 200

  Scenario Outline: A request is answered or its connection is closed
    When a job caller sends <request>
    Then the job caller gets <status>
    And the next job caller gets 200
    And no temporary file was opened

    Examples:
      | request                                          | status |
      | a body of 300 bytes                              | 200    |
      | a body of 300 bytes in chunks                    | 200    |
      | a body of 200000 bytes in chunks                 | 200    |
      | a body of 2000000 bytes                          | 413    |
      | a body of 2000000 bytes in chunks                | 413    |
      | a body of 9000000 bytes                          | 413    |
      | a body of 9000000 bytes in chunks                | 413    |
      | a form of 3000 fields                            | 200    |
      | a multipart body without parts                   | 200    |
      | header "Host: \xff\xfe"                          | 200    |
      | header "Host: [::1]:80:80"                       | 200    |
      | header "Authorization: Bearer \xff"              | 200    |
      | header "Authorization:"                          | 200    |
      | header "Cookie: \xff=;;="                        | 200    |
      | header "Content-Length: -5"                      | 400    |
      | header "Content-Length: 99999999999999999999"    | none   |
      | header "Content-Length: ²"                       | 400    |
      | header "Transfer-Encoding: gzip"                 | 400    |
      | the path "/fit/%ff%00%2e%2e/\xff"                | 400    |
      | the path "/fit/%"                                | 200    |
      | the path "http://jobs.example/fit/1"             | 200    |
      | a request line without a version                 | 400    |
      | 600 headers                                      | 400    |
      | a header of 20000 bytes                          | closed |
      | a chunk of negative length                       | 400    |

  Scenario: Requests in a row on one connection are answered in turn
    When a job caller sends 50 requests at once
    Then 50 responses have arrived
    And the next job caller gets 200

  Scenario: Any bytes are answered or the connection is closed
    Then any bytes as a request end with a response, a closed connection or a wait
