Feature: Start and stop of a node
  Guards against a node that is killed before its services have stopped: by a signal that it does
  not handle yet, or at the end of its grace time.

  Scenario: the node stops its services if SIGTERM arrives while they start
    When the node gets SIGTERM before its services have started
    Then the node stops its services

  Scenario: the grace time runs from the announcement, even if another service is slow to stop
    Given a listener with 6 s of grace and an open connection
    When a stop is announced, another service takes 1.4 s to stop, and then the listener stops
    Then the listener has stopped within 6 s of the announcement
