Feature: Promises of dispatch under random faults
  Whatever fails in whatever order, work that runs at most once does not run twice, and what is
  refused as not run did not run.

  Scenario Outline: dispatch under random faults and a takeover, seed <seed>
    When 300 dispatch requests meet random faults and a takeover with seed <seed>
    Then no dispatch once work ran twice
    And no dispatch request that ran was refused as not run

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
