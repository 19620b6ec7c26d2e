Feature: Stop of the listener
  Guards against callers that reached a host in time, and whose connections close without an answer
  because the process was busy when the host stopped accepting.

  Scenario: callers that connect while the process is busy and accepting ends are answered
    When 10 callers connect and send a request while the process is busy for 0.3 s as accepting ends
    Then each of these callers is answered

  # Guards against answers that are discarded because the process sees the end of its stop late.
  Scenario: responses that are ready when a busy process reaches the end of its stop are sent
    When 10 callers wait for responses that become ready 0.1 s before the stop ends, and the process is busy from then until 0.1 s after its end
    Then each of these callers is answered
