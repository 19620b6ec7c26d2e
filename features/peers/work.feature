Feature: Forwarded requests between peers
  A caller gets the complete answer to its own request, or an error that says what is known.

  Scenario: bodies of both directions arrive complete
    Given peers "ab"
    When work with a body of 3 MiB in uneven chunks is echoed
    Then the peers' work is "done"
    And the peers' answer is "(200, (('a', 'b'),), True, True)"

  Scenario Outline: the handler's errors reach the caller
    Given peers "ab"
    When work meets a handler that <fault>
    Then the peers' work is "<error>"
    And the peers' complete is "False"
    And the peers' other work is "done"

    Examples:
      | fault                               | error                                 |
      | raises RefusedError                 | RefusedError not-run 503 after 0.25 s |
      | raises NotOwnerError                | NotOwnerError                         |
      | raises ValueError                   | RefusedError unknown 504              |
      | returns without an answer           | RefusedError unknown 504              |
      | sends a status of 70000             | RefusedError unknown 504              |
      | raises ValueError after the head    | PeerUnreachableError sent             |
      | raises RefusedError after some data | PeerUnreachableError sent             |
      | returns without the end             | PeerUnreachableError sent             |

  Scenario: a body that stalls holds up no other request, and can be cancelled
    Given peers "ab"
    When work with a body that stalls runs beside other work
    Then the peers' other work is "done"
    And the peers' other work time is from 0 to 0.01
    And the peers' cancellation after the caller gave up is from 0 to 0.01

  Scenario Outline: a failure at the caller is raised unchanged and cancels the handler
    Given peers "ab"
    When work has a <part> that fails half-way
    Then the peers' work is "BrokenResourceError"
    And the peers' own error is "True"
    And the peers' cancellation after the caller gave up is from 0 to 0.01

    Examples:
      | part   |
      | body   |
      | caller |

  Scenario: an answer that its caller takes slowly is not buffered beyond the window
    Given peers "ab"
    When work is answered with 4 MiB to a caller that takes 1 chunk per second
    Then the peers' KiB ahead of the caller is from 64 to 256
    And the peers' complete is "True"
    And the peers' other work is "done"
    And the peers' other work time is from 0 to 0.01

  Scenario: an answer may come before the body is complete
    Given peers "ab"
    When work with a body that stalls is answered at once
    Then the peers' work is "done"
    And the peers' work time is from 0 to 0.01
    And the peers' complete is "True"

  Scenario: cancelling before the request was written sends nothing
    Given peers "ab"
    When work is cancelled while its request is still in the queue
    Then the peers' calls of the handler is "0"

  Scenario: late frames of a cancelled request reach no other request
    Given peers "a"
    When work is cancelled and its answer arrives during the next request
    Then the peers' work is "done"
    And the peers' answer is "((('text', 'own'),), b'own', True)"

  Scenario Outline: a peer that breaks the rules of streams is disconnected
    Given peers "a"
    When work from a scripted peer <fault>
    Then the peers' next message is "None"
    And the peers' time to the end is from 0 to 0.01
    And the peers' handlers cancelled is "1 of 1"

    Examples:
      | fault                          |
      | reuses a stream number         |
      | sends data beyond the window   |
      | sends data after the end       |
      | gives credit beyond the window |
      | sends an answer                |
