Feature: Conditional writes whose responses are lost
  Guards against a committed write that is reported as failed, a failed write that is reported as
  committed, and a write that is applied twice.

  Scenario Outline: the outcome is found by reading the rows back
    Given a table row "a" at version 4
    And the table's first response is lost <loss>
    And the table's second response is <second>
    When write_once puts "a" at version 4
    Then write_once ends with <result>
    And the table row "a" was written by write_once <times> times

    Examples:
      | loss                                    | second            | result                   | times |
      | after the commit                        | in time           | success, read back       | 1     |
      | after the commit and one later write    | in time           | WriteOutcomeUnknownError | 1     |
      | before the commit                       | in time           | success                  | 1     |
      | after another write came first          | in time           | ConditionFailedError     | 0     |
      | before a commit that follows the repeat | in time           | success                  | 1     |
      | before a commit after the read-back     | in time           | success, read back       | 1     |
      | before the commit                       | lost too          | WriteOutcomeUnknownError | 0     |
      | before the commit                       | that it is down   | WriteOutcomeUnknownError | 0     |
      | after the commit with reads failing     | in time           | WriteOutcomeUnknownError | 1     |

  Scenario: a later write does not hide a commit that also wrote another row
    Given a table row "a" at version 4
    And the table's first response is lost after the commit and one later write
    When write_once puts "a" at version 4 with a history row
    Then write_once ends with success, read back

  Scenario: a failed condition on another row proves on the repeat that nothing was written
    Given a table row "a" at version 4
    And the table's first response is lost before the commit, and another row of the conditions changes
    When write_once puts "a" on condition that it has version 4 and "upstream/x" version 1
    Then write_once ends with ConditionFailedError
    And the table row "a" was written by write_once 0 times

  Scenario: a table that is down at the first attempt is reported as unavailable
    Given a table row "a" at version 4
    And the table is down
    When write_once puts "a" at version 4
    Then write_once ends with PlatformUnavailableError

  Scenario: a write without a condition is a programming error
    Given a table row "a" at version 4
    When write_once puts "a" without a condition
    Then write_once ends with ValueError
