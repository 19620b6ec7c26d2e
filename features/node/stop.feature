Feature: Start and stop of a node
  Guards against a node that is cut off by a signal instead of stopping in order.

  Scenario: SIGTERM arrives while the services start
    When the node gets SIGTERM before its services have started
    Then the node stops its services

  Scenario: the grace time runs from the signal, also when another service stops slowly before
    Given a listener with 6 s of grace and an open connection
    When a stop is announced, another service takes 1.4 s to stop, and then the listener stops
    Then the listener has stopped within 6 s of the announcement
