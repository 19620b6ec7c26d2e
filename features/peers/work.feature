Feature: Forwarded requests between peers
  A caller gets the complete response to its own request, or an error that says whether it may have
  run.

  Scenario: bodies of both directions arrive complete
    Given peers "ab"
    When a forwarded request with a body of 3 MiB in uneven chunks is echoed
    Then the peer result "request" is "done"
    And the peer result "response" is "(200, (('a', 'b'),), True, True)"

  Scenario Outline: the handler's errors reach the caller
    Given peers "ab"
    When a forwarded request meets a handler that <fault>
    Then the peer result "request" is "<error>"
    And the peer result "complete" is "False"
    And the peer result "other request" is "done"

    Examples:
      | fault                               | error                                 |
      | raises RefusedError                 | RefusedError not-run 503 after 0.25 s |
      | raises NotOwnerError                | NotOwnerError                         |
      | raises ValueError                   | RefusedError unknown 504              |
      | returns without a response          | RefusedError unknown 504              |
      | sends a status of 70000             | RefusedError unknown 504              |
      | raises ValueError after the head    | PeerUnreachableError sent             |
      | raises RefusedError after some data | PeerUnreachableError sent             |
      | returns without the end             | PeerUnreachableError sent             |

  Scenario: a body that stalls delays no other request, and its request can be cancelled
    Given peers "ab"
    When a forwarded request with a body that stalls runs beside another one
    Then the peer result "other request" is "done"
    And the peer result "other request time" is from 0 to 0.01
    And the peer result "cancellation after the caller gave up" is from 0 to 0.01

  Scenario Outline: an error at the caller is raised unchanged and cancels the handler
    Given peers "ab"
    When a forwarded request has a <part> that fails half-way
    Then the peer result "request" is "BrokenResourceError"
    And the peer result "error unchanged" is "True"
    And the peer result "cancellation after the caller gave up" is from 0 to 0.01

    Examples:
      | part   |
      | body   |
      | caller |

  Scenario: a response to a slow caller is not buffered beyond the window
    Given peers "ab"
    When a forwarded request is answered with 4 MiB to a caller that takes 1 chunk per second
    Then the peer result "KiB ahead of the caller" is from 64 to 256
    And the peer result "complete" is "True"
    And the peer result "other request" is "done"
    And the peer result "other request time" is from 0 to 0.01

  Scenario: a response may come before the body is complete
    Given peers "ab"
    When a forwarded request with a body that stalls is answered at once
    Then the peer result "request" is "done"
    And the peer result "request time" is from 0 to 0.01
    And the peer result "complete" is "True"

  Scenario: cancelling before the request was written sends nothing
    Given peers "ab"
    When a forwarded request is cancelled while it is still in the queue
    Then the peer result "calls of the handler" is "0"

  Scenario: late frames of a cancelled request reach no other request
    Given peers "a"
    When a forwarded request is cancelled and its response arrives during the next one
    Then the peer result "request" is "done"
    And the peer result "response" is "((('text', 'own'),), b'own', True)"

  Scenario Outline: a peer that violates the stream protocol is disconnected
    Given peers "a"
    When a scripted peer forwards a request and <fault>
    Then the peer result "next message" is "None"
    And the peer result "time to the end" is from 0 to 0.01
    And the peer result "handlers cancelled" is "1 of 1"

    Examples:
      | fault                          |
      | reuses a stream number         |
      | sends data beyond the window   |
      | sends data after the end       |
      | gives credit beyond the window |
      | sends a response               |
