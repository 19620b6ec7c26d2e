Feature: Table of the platform stand-in
  Guards the properties that ownership relies on: conditional, atomic, versioned writes.

  Scenario: a conditional write of several rows takes effect as a whole or not at all
    Given a table store
    When the table store gets "a=0, b=0" with the values "1, 1"
    And the table store gets "a=1, b=0" with the values "2, 2"
    And the table store gets "a=1, b=1" with the values "3, 3"
    Then the table store answered "ok, failed b, ok"
    And the table store holds "a v2 r2 3, b v2 r2 3"
    And the table store shows "a, b" since revision 1 and "" since revision 2

  Scenario: a write without a condition is refused
    Given a table store
    When the table store gets a write of "a" without a condition
    Then the table store answered "no condition for a"

  Scenario: a lost answer is told apart from a write that did not take effect
    Given a table store
    When the memory table loses the answer to a write of "a"
    And the memory table is down during a write of "b"
    And the memory table writes "a" on a wrong condition
    Then the memory table raised "WriteOutcomeUnknownError, PlatformUnavailableError, ConditionFailedError"
    And the table store holds "a v1 r1 x"

  Scenario: a client that gives up on a slow store meets writes that took effect and writes that did not
    Given a table store
    When the memory table is slow by 1000 ms and a write of "a" is given up after 800 ms
    And the memory table is slow by 1000 ms and a write of "b" is given up after 300 ms
    Then the table store holds "a v1 r1 x"
