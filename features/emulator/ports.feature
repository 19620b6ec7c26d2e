Feature: Ports of the processes of a test
  Guards against two test runs that give the same port to processes which have not bound it yet: one
  of them then ends with "Address already in use".

  Scenario: a port that another test run has given is not given again
    Given another process has given port 12345 to a process that has not started yet
    When a free port is asked for and 12345 is the first candidate
    Then another port is given
