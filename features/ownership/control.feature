Feature: Orders over a kept connection
  Guards against an upstream that closes its connection after a response, as it may at any time: the
  next order on it raised an error that nothing caught, and the host ended.

  Scenario: an upstream asks to close the connection after each response
    Given an upstream that closes its connection after each response
    When its health is read three times
    Then it was "ready" each time
