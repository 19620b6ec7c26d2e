Feature: Page of metrics
  Guards against metrics that are sent but not documented, and the other way round.

  Scenario: docs/metrics.md lists exactly the metrics that the code sends
    Then the page of metrics has the names and types that the code has
