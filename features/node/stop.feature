Feature: Start and stop of a node
  Guards against a node that is cut off by a signal instead of stopping in order.

  Scenario: SIGTERM arrives while the services start
    When the node gets SIGTERM before its services have started
    Then the node stops its services
