Feature: A host's view of the fleet
  The view never returns to an older state, and entries that expired in an outage may return.

  Background:
    Given a view with the upstreams "u1, u2, u3" and the configuration 5

  Scenario Outline: an older configuration changes nothing
    When the configuration <version> arrives
    Then the configuration <in_force> is in force

    Examples:
      | version | in_force |
      | 4       | 5        |
      | 5       | 5        |
      | 9       | 9        |

  Scenario: an entry that is removed while the registry can be read is removed at once
    When after 0.5 s the registry has "u1, u3"
    Then the view has "u1, u3"

  Scenario: an entry that expired during an outage is kept until it has had time to return
    When reads of the registry fail
    And after 8 s the registry has "u1, u3"
    Then the view has "u1, u2, u3"
    When after 1 s the registry has "u1, u3"
    Then the view has "u1, u2, u3"
    When after 1.5 s the registry has "u1, u3"
    Then the view has "u1, u3"

  Scenario: an entry that returns after an outage stays
    When reads of the registry fail
    And after 8 s the registry has "u1, u3"
    And after 1 s the registry has "u1, u2, u3"
    And after 1 s the registry has "u1, u2, u3"
    And after 1 s the registry has "u1, u2, u3"
    Then the view has "u1, u2, u3"

  Scenario: late news of a registry that this host did not fail to read is no outage
    When after 1.7 s the registry has "u1, u3"
    Then the view has "u1, u3"

  Scenario: news after a failed read that was soon made good is no outage
    When reads of the registry fail
    And after 1 s the registry is reported unchanged
    And after 1.7 s the registry has "u1, u3"
    Then the view has "u1, u3"

  Scenario: other hosts are not told that an upstream is registered that is missing after an outage
    When reads of the registry fail
    And after 8 s the registry has "u1, u3"
    Then the view has "u1, u2, u3"
    And other hosts are told of "u1, u3"
    When after 1 s the registry has "u1, u2, u3"
    Then other hosts are told of "u1, u2, u3"

  Scenario: a complete read that is older than a link's news does not remove who joined since
    When another host reports "u1, u2, u3, u4" as of revision 8
    And at revision 7 the registry has "u1, u2, u3"
    Then the view has "u1, u2, u3, u4"
    When at revision 9 the registry has "u1, u2, u3"
    Then the view has "u1, u2, u3"

  Scenario: a complete read of unknown revision removes what it lacks
    When another host reports "u1, u2, u3, u4" as of revision 8
    And at revision 0 the registry has "u1, u2, u3"
    Then the view has "u1, u2, u3"

  Scenario: an entry of an earlier incarnation does not replace a later one
    When "u2" registers with the start time 9
    And "u2" registers with the start time 1
    Then "u2" has the start time 9

  Scenario: owners of an older version change nothing
    When the owners arrive with version 3
    And the owners arrive with version 2
    Then the owners have version 3

  Scenario: an upstream that is missing after an outage is removed also if nothing else changes
    When reads of the registry fail
    And after 8 s the registry has "u1, u3"
    And after 2.5 s the registry is reported unchanged
    Then the view has "u1, u3"

  Scenario: what another host read before a removal does not bring the upstream back
    When at revision 7 the registry has "u1, u3"
    And another host reports "u1, u2, u3" as of revision 6
    Then the view has "u1, u3"
    When another host reports "u1, u2, u3" as of revision 8
    Then the view has "u1, u2, u3"

  Scenario: what another host read before an upstream began to drain does not make it usable
    When "u2" reports that it drains
    And another host reports "u1, u2, u3" as of revision 1
    Then "u2" is draining

  Scenario: a changed number of slots is a change for the hosts that are told of changes
    When "u2" registers with 5 slots
    Then the view has changed

  Scenario: a grant counts only for the move that the owners show
    When keys move with the fencing token 4, and the owners arrive with version 3
    And a grant with the fencing token 4 is reported
    And a grant with the fencing token 2 is reported
    Then the granted moves are "4"
    When the owners arrive with version 4
    Then the granted moves are ""

  Scenario: owners of a later era replace those of a higher version, and never the other way round
    When the owners arrive with version 7
    And the owners of era 1 arrive with version 7
    And the owners arrive with version 9
    Then the owners are of era 1 and version 7
