Feature: Checks of a soak
  Guards against a soak that passes because its checks see nothing: each one is shown a record that
  breaks its promise, and one beside it that does not.

  Scenario Outline: <rule>
    Then records of <broken> give the finding "<rule>"
    And records of <kept> give no finding

    Examples:
      | rule                  | broken                                      | kept                                      |
      | two-owners            | a grant while another lease runs            | a grant after another lease               |
      | two-owners            | a grant after a release of other keys       | a grant after a release                   |
      | two-owners            | a grant while a later life's lease runs     | a grant after the death of another        |
      | run-twice             | a deposit that ran twice                    | a read that ran twice                     |
      | not-run-but-ran       | a refused request that ran                  | a failed request that ran                 |
      | completed-without-run | a request that completed without a run      | a completed request that ran              |
      | foreign-answer        | an answer to another request                | a completed request that ran              |

  Scenario: faults are the same for a seed, and those of a target begin one after the other
    Given the soak's faults of seeds 1 to 20
    Then a second drawing gives the same faults
    And faults of one target do not overlap
