Feature: Documentation of metrics
  Guards against metrics that are sent but not documented, or documented but not sent.
  Gauges that are only computed when a node's metrics are read are not compared.

  Scenario: docs/metrics.md lists exactly the metrics that the code sends
    Then the documentation of metrics has the names and types that the code has
