Feature: Arbitrary responses of upstreams
  Guards against a part of a response that looks complete, whatever its framing, the point at which it
  breaks off and how, and against responses that pass the client but cannot be sent to a caller.

  Scenario: a response that breaks off anywhere is never complete
    When uploads are answered with arbitrary responses that break off at arbitrary points
    Then each complete response has the body that the upstream meant

  Scenario: a response that is complete reaches the caller unchanged
    When upstreams answer with arbitrary heads
    Then each complete response is valid and reaches the caller with its status and body
