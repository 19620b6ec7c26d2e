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

  Scenario Outline: a response that is not valid HTTP is no response
    Given an upstream that sends <response>
    When a request is sent
    Then no response is complete

    Examples: statuses
      | response                             |
      | a response with status 000           |
      | a response with status 099           |
      | a response with status 101           |
      | a response with status 600           |
      | a response with status 999           |
      | a response with status 20            |
      | a response with status 2000          |

    Examples: versions
      | response                             |
      | a response of version HTTP/0.9       |
      | a response of version HTTP/2.0       |
      | a response of version HTTP/11        |

    Examples: lengths
      | response                             |
      | a length and chunks                  |
      | chunks and a length                  |
      | two different lengths                |
      | a list of different lengths          |
      | a negative length                    |
      | an encoding other than chunks        |
      | chunks named twice                   |
      | chunks of version HTTP/1.0           |
      | a 204 with a length                  |
      | a 204 with chunks                    |
      | chunks without the last one          |
      | less than its length                 |

  Scenario Outline: a valid response is complete
    Given an upstream that sends <response>
    When a <method> request is sent
    Then the response has <status> and the body "<body>"
    And the connection can be used again: <again>

    Examples:
      | response                          | method | status | body | again |
      | a response with status 200        | GET    | 200    | done | yes   |
      | a response with status 599        | GET    | 599    | done | yes   |
      | a response of version HTTP/1.0    | GET    | 200    | done | no    |
      | a response of version HTTP/1.2    | GET    | 200    | done | yes   |
      | chunks                            | GET    | 200    | done | yes   |
      | two equal lengths                 | GET    | 200    | done | yes   |
      | a 204 without length              | GET    | 204    |      | yes   |
      | a 204 with length 0               | GET    | 204    |      | yes   |
      | a 204 with a body                 | GET    | 204    |      | no    |
      | a 304 with a length               | GET    | 304    |      | yes   |
      | a 304 with a length and its body  | GET    | 304    |      | no    |
      | a length without its body         | HEAD   | 200    |      | yes   |
      | a response with status 200        | HEAD   | 200    |      | no    |
      | no length                         | GET    | 200    | done | no    |
