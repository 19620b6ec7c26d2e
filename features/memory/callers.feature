Feature: Memory of callers' connections
  Guards against memory that a connection keeps without need, and against input that it receives
  without a limit.

  Scenario: an upload that is refused while it is read gives its memory back at once
    Given a listener on a host with 20 MB
    When a caller sends 20 MB in chunks, and waits for 0.5 s after the response
    Then the response is 503
    And no memory was held 0.5 s after the response

  Scenario: an upload that ends too late gives its memory back at once
    Given a listener on a host with 20 MB, whose uploads have 0.5 s
    When a caller sends 2 MB of an upload of 3 MB behind a request that takes 2 s
    Then no memory was held 1 s after the upload began

  Scenario: a connection whose interim response cannot be sent does not receive without a limit
    Given a listener on a host with 20 MB
    When a caller that reads nothing sends 5 MB after a request with Expect: 100-continue
    Then the connection has received at most 0.6 MB
