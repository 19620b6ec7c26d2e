Feature: Arbitrary bytes from outside
  Guards against bytes from callers, upstreams, the store or other hosts that raise an exception
  outside the project's own tree: nothing would catch it, and the process would end.

  Scenario Outline: arbitrary input raises only the errors that its parser declares
    When <parser> gets arbitrary input
    Then only declared errors are raised

    Examples:
      | parser                 |
      | the dialect            |
      | the entry decoder      |
      | the route decoder      |
      | the row decoder        |
      | the key map            |
      | the link decoder       |
      | the response reader    |
      | the request reader     |

  Scenario Outline: input that is known to be dangerous
    When <parser> gets <input>
    Then only declared errors are raised

    Examples:
      | parser              | input                                |
      | the dialect         | a key of 5000 digits                 |
      | the dialect         | a deadline of 5000 digits            |
      | the response reader | a keep-alive timeout of ²            |
      | the response reader | a keep-alive timeout of 400 digits   |
      | the key map         | a span of an owner that is not there |
      | the entry decoder   | a field that is nested 4000 deep     |
      | the route decoder   | a field that is nested 4000 deep     |
      | the row decoder     | a compressed list of 4000 levels     |
      | the row decoder     | a row that is not an object          |
      | the link decoder    | a message of 4000 levels             |
      | the request writer  | a path that is not ASCII             |

  Scenario: a caller that resets its connection while a request is read ends only that connection
    Given a listener on loopback
    When a caller asks for 100-continue and resets its connection
    Then the listener still serves requests

  Scenario: an unexpected error in the handler ends only the connection that caused it
    Given a listener on loopback whose first request raises an unexpected error
    When a caller sends a request
    Then the listener still serves requests
    And the error has been logged and counted
