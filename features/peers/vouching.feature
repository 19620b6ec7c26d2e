Feature: Confirmations between peers
  A holder's authority follows from the echoes of its successor and from nothing else.

  Scenario: an echo never counts for longer than the answer that carried it
    Given peers "ab"
    And the peer "a" has the partner "b"
    When confirmations run for 3 s over a network that takes 10 ms
    Then the peers' lead of the confirmed reading over the sending is from -0.1 to 0
    And the peers' oldest confirmed reading is from 0.08 to 0.12

  Scenario: a successor that withholds its confirmation neither confirms nor counts as having confirmed
    Given peers "ab"
    And the peer "a" has the partner "b"
    When confirmations are withheld by "b" for 1 s and then restored
    Then the peers' movement of the readings meanwhile is "(0.0, 0.0)"
    And the peers' movement of the readings afterwards is from 0.9 to 1.3
    And the peers' time since b was heard is from 0 to 0.09

  Scenario: bulk data in both directions does not delay confirmations
    Given peers "ab"
    And the peer "a" has the partner "b"
    When confirmations go on during 40 uploads of 1 MiB and a mirror of 1100 rows at 10 MB/s
    Then the peers' oldest confirmed reading is from 0.08 to 0.12
    And the peers' complete answers is "40"
    And the peers' rows is "1100"

  Scenario: an answer that echoes a reading that was never sent ends the connection
    Given peers "a"
    And the peer "a" has the partner "r"
    When a heartbeat is answered by "r" with a reading of its own
    Then the peers' reading is "-inf"
    And the peers' next message is "None"
