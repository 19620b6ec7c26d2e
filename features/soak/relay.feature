Feature: Relay of a soak
  Guards against faults that have no effect, and against a relay that delivers bytes after their
  sender has closed the connection: targets would get requests long after their callers gave up.

  Scenario Outline: connections through a relay that <fault>
    When 3 bytes are sent through a relay that <fault>
    Then the result through the soak's relay is "<result>"

    Examples:
      | fault                         | result               |
      | has no fault                  | response             |
      | refuses connections           | broken               |
      | blocks inward bytes           | silent, not received |
      | blocks outward bytes          | silent, received     |
      | resets open connections       | broken               |
      | has no target                 | broken               |

  Scenario: bytes of a sender that gave up while the relay was blocked are not delivered later
    When 3 bytes are sent through a relay that blocks inward bytes, and the connection is closed
    And the soak's relay no longer blocks
    Then the target has received nothing
