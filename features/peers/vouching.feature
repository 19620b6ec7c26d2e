Feature: Vouching between peers
  A holder's authority follows from the echoes of its successor and from nothing else.

  Scenario: an echo never counts for longer than the answer that carried it
    Given peers "ab"
    And the peer "a" has the partner "b"
    When vouching runs for 3 s over a network that takes 10 ms
    Then the peer result "lead of vouched over answered" is from -0.1 to 0
    And the peer result "oldest vouched reading" is from 0.08 to 0.12

  Scenario: a successor that withholds its voucher neither vouches nor counts as answering
    Given peers "ab"
    And the peer "a" has the partner "b"
    When vouching is withheld by "b" for 1 s and then restored
    Then the peer result "movement of the readings meanwhile" is "(0.0, 0.0)"
    And the peer result "movement of the readings afterwards" is from 0.9 to 1.3
    And the peer result "time since b was heard" is from 0 to 0.09

  Scenario: bulk data in both directions does not delay vouching
    Given peers "ab"
    And the peer "a" has the partner "b"
    When vouching goes on during 40 uploads of 1 MiB and a mirror of 1100 rows at 10 MB/s
    Then the peer result "oldest vouched reading" is from 0.08 to 0.12
    And the peer result "complete answers" is "40"
    And the peer result "rows" is "1100"

  Scenario: an answer that echoes a reading that was never sent ends the connection
    Given peers "a"
    And the peer "a" has the partner "r"
    When vouching is answered by "r" with a reading of its own
    Then the peer result "reading" is "-inf"
    And the peer result "next message" is "None"
