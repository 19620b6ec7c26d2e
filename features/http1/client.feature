Feature: Responses of upstreams over HTTP/1.1
  Guards against a response that looks complete although its connection broke off, against responses
  that are not valid HTTP, and against the use of a connection after its request was cut off.

  Scenario: a response without length that is reset during an upload is not complete
    Given an upstream that answers an upload with a part of a response without length
    And then resets the connection
    When 40 uploads of 6 MB are sent
    Then no response is complete

  Scenario: a response without length that ends while the upload is not read is not complete
    Given an upstream that answers an upload with a part of a response without length
    And then ends the connection without reading on
    When 40 uploads of 6 MB are sent
    Then no response is complete

  Scenario: a response without length that ends in good order is complete
    Given an upstream that answers an upload with a response without length
    And then ends its side and reads on
    When 5 uploads of 6 MB are sent
    Then all responses are complete
    And no connection can be used again

  Scenario Outline: an early response with a length is complete, and its connection is not used again
    Given an upstream that answers an upload with a response with a length
    And then <ending>
    When 5 uploads of 6 MB are sent
    Then all responses are complete
    And no connection can be used again

    Examples:
      | ending                                 |
      | resets the connection                  |
      | ends the connection without reading on |
      | sends nothing more                     |
