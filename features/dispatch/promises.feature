Feature: Promises of dispatch under random faults
  Whatever fails in whatever order, at-most-once work does not run twice, and work that is refused
  as not run did not run.

  Scenario Outline: random faults and a takeover do not break the promises, seed <seed>
    When 300 dispatch requests meet random faults and a takeover with seed <seed>
    Then no dispatch at-most-once work ran twice
    And no dispatch request that ran was refused as not run

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
