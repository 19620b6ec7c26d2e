Feature: Forwarded requests between peers
  A caller gets the complete answer to its own request, or an error that says what is known.

  Scenario: bodies of both directions arrive complete
    Given peers "ab"
    When work with a body of 3 MiB in uneven chunks is echoed
    Then the work's answer is the body, complete, with its head

  Scenario Outline: the handler's errors reach the caller
    Given peers "ab"
    When work meets a handler that <fault>
    Then the work raises <error> and the answer is not complete
    And work after that is answered

    Examples:
      | fault                               | error                                        |
      | raises RefusedError                 | RefusedError not-run 503 after 0.25 s        |
      | raises NotOwnerError                | NotOwnerError                                |
      | raises ValueError                   | RefusedError unknown 504                     |
      | returns without an answer           | RefusedError unknown 504                     |
      | sends a status of 70000             | RefusedError unknown 504                     |
      | raises ValueError after the head    | PeerUnreachableError sent                    |
      | raises RefusedError after some data | PeerUnreachableError sent                    |
      | returns without the end             | PeerUnreachableError sent                    |

  Scenario: a body that stalls holds up no other request, and can be cancelled
    Given peers "ab"
    When work with a body that stalls runs beside other work
    Then the other work was answered at once
    And the work's handler was cancelled when its caller gave up

  Scenario: a body that is cut off cancels the handler and raises its own error
    Given peers "ab"
    When work has a body that fails half-way
    Then the work raises the error of its body
    And the work's handler was cancelled when its caller gave up

  Scenario: an answer that its caller takes slowly is not buffered beyond the window
    Given peers "ab"
    When work is answered with 4 MiB to a caller that takes 1 chunk per second
    Then the work's handler was never more than 400 KiB ahead of the caller
    And other work was answered at once

  Scenario: an answer may come before the body is complete
    Given peers "ab"
    When work with a body that stalls is answered at once
    Then the work is complete

  Scenario: cancelling before the request was written sends nothing
    Given peers "ab"
    When work is cancelled while its request is still in the queue
    Then the work's handler was never called

  Scenario: a caller that fails while taking the answer cancels the handler
    Given peers "ab"
    When work has a caller that fails at the first data
    Then the work raises the caller's error
    And the work's handler was cancelled when its caller gave up

  Scenario: late frames of a cancelled request reach no other request
    Given peers "a"
    When work is cancelled and its answer arrives during the next request
    Then the work's second answer holds only its own frames

  Scenario Outline: a peer that breaks the rules of streams is disconnected
    Given peers "a"
    When work from a scripted peer <fault>
    Then the work's connection was closed and its handlers were cancelled

    Examples:
      | fault                          |
      | reuses a stream number         |
      | sends data beyond the window   |
      | sends data after the end       |
      | gives credit beyond the window |
      | sends an answer                |

  Scenario: a peer that stops is known to refuse work before it is sent
    Given peers "ab"
    When work is sent to "b" while it stops
    Then the work raises PeerUnreachableError not sent and the answer is not complete
