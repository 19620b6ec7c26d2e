Feature: Connections of callers
  Guards against responses that are incomplete or out of order, and against smuggled requests.

  Scenario: pipelined requests are served concurrently and answered in order
    Given a listener whose handler takes "0.8, 0.2, 0.4" s
    When a caller sends "GET /1, GET /2, GET /3" at once
    Then the responses are "200 /1, 200 /2, 200 /3"
    And all responses came in less than 1.3 s

  Scenario: a chunked body arrives completely
    Given a listener whose handler takes "0" s
    When a caller sends a chunked body "wedding band"
    Then the responses are "200 /upload wedding band"

  Scenario Outline: an ambiguous or malformed request is refused and the connection closed
    Given a listener whose handler takes "0" s
    When a caller sends the raw request "<request>"
    Then the responses are "<response>"
    And the handler saw <count> requests

    Examples:
      | request                                                                             | response | count |
      | POST / HTTP/1.1~Host: a~Content-Length: 3~Transfer-Encoding: chunked~~0~~GET /x     | 400      | 0     |
      | POST / HTTP/1.1~Host: a~Content-Length: 3~Content-Length: 4~~abcd                   | 400      | 0     |
      | GET / HTTP/1.1~~~                                                                   | 400      | 0     |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: gzip, chunked~~0~~                       | 501      | 0     |

  Scenario Outline: a response that cannot be sent as it is still ends with an answer
    Given a listener whose handler returns <response>
    When a caller sends "GET /1" at once
    Then the responses are "<answer>"

    Examples:
      | response                  | answer |
      | a header with a line feed | 502    |
      | a status of 1000          | 502    |
      | status 204 with a body    | 204    |

  Scenario: a response to HEAD has no body, and the next request is answered
    Given a listener whose handler takes "0" s
    When a caller sends "HEAD /1, GET /2" at once
    Then the responses are "200, 200 /2"

  Scenario: an upload that waits to be asked for its body is asked after the responses before it
    Given a listener whose handler takes "0.1, 0" s
    When a caller sends the raw request "GET /1 HTTP/1.1~Host: a~~POST /2 HTTP/1.1~Host: a~Expect: 100-continue~Content-Length: 3~~abc"
    Then the responses are "200 /1, 100, 200 /2 abc"

  # Guards against an interim response, which HTTP/1.0 does not have, taken for the final one.
  Scenario: an upload of HTTP/1.0 is not asked for its body
    Given a listener whose handler takes "0" s
    When a caller sends the raw request "POST /1 HTTP/1.0~Host: a~Expect: 100-continue~Content-Length: 3~~abc"
    Then the responses are "200 /1 abc"

  Scenario: a body that is sent without being asked for is not buffered without limit
    Given a listener whose handler takes "0.5" s
    When a caller sends a request and then, without waiting, a body without end that waits to be asked for
    Then the caller could send less than 16 MB in 0.3 s

  Scenario: a body over the limit is refused
    Given a listener whose handler takes "0" s
    When a caller sends the raw request "POST / HTTP/1.1~Host: a~Content-Length: 2000~~{2000}"
    Then the responses are "413"
    And the handler saw 0 requests

  Scenario: the answer to a refused upload reaches a caller that takes long to send it
    Given a listener whose handler takes "0" s
    When a caller sends an upload for which there is no memory for 20 s, and reads the answer then
    Then the answer to the upload is 503 with a time to retry

  Scenario: a request head over the limit is refused
    Given a listener whose handler takes "0" s
    When a caller sends the raw request "GET /{5000} HTTP/1.1~Host: a~~"
    Then the responses are "431"

  # Guards against the limit that was in force when the connection became idle.
  Scenario Outline: a request head is held to the limit in force while it arrives
    Given a listener whose handler takes "0" s
    And the limit of a request head changes from <before> to <after> bytes, 0.1 s after a caller has connected
    When a caller sends a request head of 5000 bytes in two parts after 0.2 s
    Then the handler saw <count> requests
    And the first response has status <status>

    Examples:
      | before | after | status | count |
      | 4096   | 8192  | 200    | 1     |
      | 8192   | 4096  | 431    | 0     |

  Scenario: an idle connection is closed
    Given a listener whose handler takes "0" s
    When a caller sends nothing for 0.5 s
    Then the connection has been closed

  Scenario: a longer idle limit that comes into force holds for open connections
    Given a listener whose handler takes "0" s
    And the idle limit changes from 0.3 to 1 s, 0.1 s after a caller has connected
    When a caller sends its first request after 0.6 s
    Then the responses are "200 /1"

  Scenario: a request that arrives while the process is busy and an idle connection closes is served
    Given a listener whose handler takes "0" s
    When 10 requests each arrive while the process is busy and their idle connection is to close
    Then all of them are answered

  Scenario Outline: a request that arrives while an unused connection is closed is answered or unread
    Given a listener whose handler takes "0" s
    When requests arrive after 1 to 8 steps of the scheduler while their connections close <reason>
    Then each of them is answered or left unread

    Examples:
      | reason                      |
      | because the listener stops  |
      | because of their idle limit |

  Scenario Outline: a request that arrives right after an unused connection was shut down stays unread
    Given a listener whose handler takes "0" s
    When 20 requests arrive in the step of the scheduler that shuts their connection down <reason>
    Then all of them are left unread

    Examples:
      | reason                      |
      | because the listener stops  |
      | because of their idle limit |

  Scenario: a connection that was idle for less than the previous limit outlasts a shorter one
    Given a listener whose handler takes "0" s
    And the idle limit changes from 1 to 0.3 s, 0.1 s after a caller has connected
    When a caller sends its first request after 0.6 s
    Then the responses are "200 /1"

  Scenario: a response that did not announce the close is followed by the next request
    Given a listener whose handler takes "0" s
    When a caller sends its next request 0.1 s after a response, and the listener has stopped meanwhile
    Then the responses are "200 /2"
    And the last response closes the connection

  Scenario Outline: a listener that stops on a busy machine answers all callers that wait for it
    Given a listener whose handler takes "0" s
    When 40 callers send a request before the listener stops, and each takes the process <time> ms
    Then all of them are answered

    Examples:
      | time |
      | 10   |
      | 40   |

  Scenario: a request head that does not end is refused
    Given a listener whose handler takes "0" s
    When a caller sends the raw request "GET / HTTP/1.1~Host" and waits
    Then the responses are "408"

  # Guards against a refusal of requests that the process itself has read late.
  Scenario: a request head that ends in time while the process is busy is not refused
    Given a listener whose handler takes "0" s
    When 10 callers end their request heads in time, and the process is busy beyond the limit
    Then all of them are answered

  Scenario: a request is cancelled when its caller disconnects
    Given a listener whose handler takes "5" s
    When a caller sends "GET /1" at once and disconnects after 0.05 s
    Then the handler was cancelled within 0.5 s

  Scenario: a stopping listener answers the requests that it has read and closes their connection
    Given a listener whose handler takes "0.2" s
    When a caller sends "GET /1, GET /2" at once and the listener stops after 0.05 s
    Then the responses are "200 /1, 200 /2"
    And the last response closes the connection
    And no new connection is accepted

  Scenario Outline: a request that reached the host before it stopped is answered
    Given a listener whose handler takes "0.05" s
    When a request is sent on <connection>, and the listener stops before it could read it
    Then the responses are "200 /1"

    Examples:
      | connection                            |
      | a kept connection                     |
      | a connection that is not accepted yet |
