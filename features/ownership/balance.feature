Feature: Moves for load
  Units move from a busy upstream to a less busy one, never so many that the gap turns around.

  Scenario: the busiest units that fit into half of the gap move
    Given the balance sees units using "a 0.30, b 0.25, c 0.20, d 0.05" of 2 slots
    When the balance closes a gap of 0.50
    Then the balance moves "a, c"

  Scenario: a unit that would turn the gap around stays
    Given the balance sees units using "a 0.90, b 0.01" of 2 slots
    When the balance closes a gap of 0.40
    Then the balance moves "b"

  Scenario: not more units than the limit move at once
    Given the balance sees units using "a 0.01, b 0.01, c 0.01, d 0.01, e 0.01, f 0.01" of 6 slots
    When the balance closes a gap of 0.90
    Then the balance moves "a, b, c, d"

  Scenario: idle units do not move
    Given the balance sees units using "a 0.00" of 2 slots
    When the balance closes a gap of 0.90
    Then the balance moves ""
