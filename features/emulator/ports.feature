Feature: Ports of the processes of a test
  Guards against two test runs that choose the same port for processes that have not bound it yet: one
  of these processes then ends with "Address already in use".

  Scenario: a port that another test run has reserved is not returned
    Given another test run has reserved a port for a process that has not started yet
    When a free port is requested and that port is the first candidate
    Then another port is returned
