Feature: Choice of units to move from a busy upstream to a less busy one
  Guards against units that move back and forth because too many moved and reversed the gap in load.

  Scenario: the busiest units that fit into half of the gap move
    Given the unit balancer sees units using "a 0.30, b 0.25, c 0.20, d 0.05" of 2 slots
    When the unit balancer closes a gap of 0.50
    Then the unit balancer moves "a, c"

  Scenario: a unit that would reverse the gap stays
    Given the unit balancer sees units using "a 0.90, b 0.01" of 2 slots
    When the unit balancer closes a gap of 0.40
    Then the unit balancer moves "b"

  Scenario: no more units than the limit move at once
    Given the unit balancer sees units using "a 0.01, b 0.01, c 0.01, d 0.01, e 0.01, f 0.01" of 6 slots
    When the unit balancer closes a gap of 0.90
    Then the unit balancer moves "a, b, c, d"

  Scenario: idle units do not move
    Given the unit balancer sees units using "a 0.00" of 2 slots
    When the unit balancer closes a gap of 0.90
    Then the unit balancer moves ""
