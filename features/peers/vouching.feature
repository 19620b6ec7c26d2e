Feature: Vouching between peers
  A holder's authority follows from the echoes of its successor and from nothing else.

  Scenario: an echo never counts for longer than the answer that carried it
    Given peers "ab"
    And the peer "a" has the partner "b"
    When vouching runs for 3 s over a network that takes 10 ms
    Then the vouched reading was never later than the reading at which "b" answered
    And vouching was never older than 0.12 s

  Scenario: a successor that withholds its voucher neither vouches nor counts as answering
    Given peers "ab"
    And the peer "a" has the partner "b"
    When vouching is withheld by "b" for 1 s and then restored
    Then the readings of vouching stood still meanwhile and went on afterwards

  Scenario: bulk data in both directions does not delay vouching
    Given peers "ab"
    And the peer "a" has the partner "b"
    When vouching goes on during 40 uploads of 1 MiB and a mirror of 1100 rows at 10 MB/s
    Then vouching was never older than 0.2 s
    And vouching was accompanied by 40 complete answers and 1100 rows

  Scenario: an answer that echoes a reading that was never sent ends the connection
    Given peers "a"
    And the peer "a" has the partner "r"
    When vouching is answered by "r" with a reading of its own
    Then vouching has no reading of "r" and its connection was closed
