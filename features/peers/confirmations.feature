Feature: Confirmations between peers
  A holder's authority is derived only from the clock readings that its successor echoes.

  Scenario: a confirmed reading is never later than the time when its confirmation was sent
    Given peers "ab"
    And the peer "a" has the partner "b"
    When confirmations run for 3 s over a network that takes up to 10 ms
    Then the peer result "confirmed reading minus sending time" is from -0.1 to 0
    And the peer result "greatest age of the confirmed reading" is from 0.08 to 0.12

  Scenario: a successor that withholds its confirmation neither confirms nor counts as having confirmed
    Given peers "ab"
    And the peer "a" has the partner "b"
    When confirmations are withheld by "b" for 1 s and then restored
    Then the peer result "advance of the readings while withheld" is "(0.0, 0.0)"
    And the peer result "advance of the readings after restoring" is from 0.9 to 1.3
    And the peer result "time since the last message from b" is from 0 to 0.09

  Scenario: bulk data in both directions does not delay confirmations
    Given peers "ab"
    And the peer "a" has the partner "b"
    When confirmations go on during 40 uploads of 1 MiB and a fetch of 1100 rows at 10 MB/s
    Then the peer result "greatest age of the confirmed reading" is from 0.08 to 0.12
    And the peer result "complete responses" is "40"
    And the peer result "rows" is "1100"

  Scenario: an answer to a heartbeat that echoes a reading which was never sent ends the connection
    Given peers "a"
    And the peer "a" has the partner "r"
    When a heartbeat is answered by "r" with a clock reading that was not sent
    Then the peer result "reading" is "-inf"
    And the peer result "next message" is "None"
