Feature: Exchange with a caller
  A body is passed on as it arrives, can be read again while small, and never blocks the end of the
  exchange.

  Scenario: the unread rest of a body is dropped after the response
    Given an exchange with a body of 20 chunks of 1000 bytes
    When the exchange is answered after 2 chunks were read
    Then the exchange has read all messages of the caller

  Scenario: a small body can be read again from the start
    Given an exchange with a body of 3 chunks of 1000 bytes
    When the exchange's body is read, rewound and read again
    Then the exchange's body was read as 3000 and 3000 bytes

  Scenario: a large body cannot be read again
    Given an exchange with a body of 100 chunks of 1000 bytes
    When the exchange's body is read, rewound and read again
    Then the exchange's body was read as 100000 and 0 bytes

  Scenario Outline: a body that <fault> ends with an error
    Given an exchange with a body that <fault>
    When the exchange's body is read to its end
    Then the exchange fails with status <status>

    Examples:
      | fault        | status |
      | stalls       | 408    |
      | is too large | 413    |

  Scenario: a caller that disconnects cancels its request
    Given an exchange with a body of 1 chunks of 1000 bytes
    When the exchange's caller disconnects while its request is served
    Then the exchange is cancelled
