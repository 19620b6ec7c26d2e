Feature: Table of the platform stand-in
  Guards the properties that ownership relies on: conditional, atomic, versioned writes.

  Scenario: a conditional write of several rows takes effect as a whole or not at all
    Given a table store
    When the table store gets a write with the conditions "a=0, b=0" and the values "1, 1"
    And the table store gets a write with the conditions "a=1, b=0" and the values "2, 2"
    And the table store gets a write with the conditions "a=1, b=1" and the values "3, 3"
    Then the table store answered "ok, failed b, ok"
    And the table store holds "a v2 r2 3, b v2 r2 3"
    And the table store lists "a, b" since revision 1 and "" since revision 2

  Scenario: a write without a condition is refused
    Given a table store
    When the table store gets a write of "a" without a condition
    Then the table store answered "no condition for a"

  Scenario: a lost response is distinguished from a write that did not take effect
    Given a table store
    When the memory table loses the response to a write of "a"
    And the memory table is down during a write of "b"
    And the memory table writes "a" with a wrong condition
    Then the memory table raised "WriteOutcomeUnknownError, PlatformUnavailableError, ConditionFailedError"
    And the table store holds "a v1 r1 x"

  Scenario: when a client of a slow store times out, its write may or may not have taken effect
    Given a table store
    When the memory table is slow by 1000 ms and a write of "a" times out after 800 ms
    And the memory table is slow by 1000 ms and a write of "b" times out after 300 ms
    Then the table store holds "a v1 r1 x"
