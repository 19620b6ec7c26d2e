Feature: Relay of a soak
  Guards against faults that do not happen, and against bytes that arrive after their sender has
  given up, which no network delivers.

  Scenario Outline: connections through a relay that <fault>
    When 3 bytes are sent through a relay that <fault>
    Then the soak's relay shows "<seen>"

    Examples:
      | fault                         | seen                |
      | has no fault                  | answered            |
      | refuses                       | broken              |
      | stops what goes inward        | silent, not reached |
      | stops what comes outward      | silent, reached     |
      | is reset after the connection | broken              |
      | has no target                 | broken              |

  Scenario: what a sender gave up while the relay stood still is not delivered later
    When 3 bytes are sent through a relay that stops what goes inward, and given up
    And the soak's relay works again
    Then the target has received nothing
