Feature: Stop of the listener
  Guards against callers that reached a host in time, and whose connections close without an answer
  because the process was busy when the host stopped accepting.

  Scenario: callers that connect while the process is busy and accepting ends are answered
    When 10 callers connect and send a request while the process is busy for 0.3 s as accepting ends
    Then each of these callers is answered
