Feature: Start of a node beside what it cannot control
  Guards against a process that ends by itself, and again after each start, because of a condition
  that passes.

  Scenario: a server whose port is taken listens once the port is free
    Given a port that an outgoing connection has been given
    When a server starts on that port, which is free 0.6 s later
    Then it serves a request, and did not fail

  Scenario: SIGHUP does not end a node that is still being imported
    When a node's program gets SIGHUP while it imports its libraries, and has no settings file
    Then it ends with exit code 2

  Scenario: an address that can never be used is an error that names it
    When a server starts on an address that is not valid
    Then it fails with "cannot listen"
