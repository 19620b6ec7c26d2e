Feature: A host's view of the fleet when the store comes back from an older copy
  The copy lacks upstreams that joined after it, and has others as they were before they left.
  Guards against upstreams that are lost or used again because of it. Revisions are written
  ERA:VERSION, and entries of the copy are marked with "*".

  Background:
    Given a view with the upstreams "u1, u2, u3" and the configuration 5

  Scenario: an upstream that joined after the copy is kept, and stays once it is written again
    When after 0.5 s the registry at 1:1 has "u1*, u2*"
    Then the view has "u1, u2, u3"
    And other hosts are told of "u1, u2"
    When after 2 s the registry at 1:2 changes to "u3"
    And after 1 s the registry at 1:3 has "u1*, u2*, u3"
    Then the view has "u1, u2, u3"

  Scenario: an upstream that joined after the copy is removed if it is not written again
    When after 0.5 s the registry at 1:1 has "u1*, u2*"
    And after 2 s the registry at 1:2 has "u1*, u2*"
    Then the view has "u1, u2, u3"
    When after 0.3 s the registry at 1:2 has "u1*, u2*"
    Then the view has "u1, u2"

  Scenario: a second restore gives upstreams the time to return again
    When after 0.5 s the registry at 1:1 has "u1*, u2*"
    And after 2 s the registry at 2:1 has "u1*, u2*"
    And after 2 s the registry at 2:2 has "u1*, u2*"
    Then the view has "u1, u2, u3"
    When after 0.3 s the registry at 2:2 has "u1*, u2*"
    Then the view has "u1, u2"

  Scenario: a host that hears of the restore over its link keeps upstreams likewise
    When after 0.5 s the registry at 1:1 changes to "-u3"
    Then the view has "u1, u2, u3"
    When after 2.3 s the registry is reported unchanged
    Then the view has "u1, u2"

  Scenario: an upstream that was removed before the restore is not used until it is written again
    When after 0.5 s the registry at 0:2 has "u1, u3"
    And after 1 s the registry at 1:1 has "u1*, u2*, u3*"
    And after 1 s the registry at 1:2 has "u1*, u2*, u3*"
    Then the view has "u1, u3"
    When after 1 s the registry at 1:3 changes to "u2"
    Then the view has "u1, u2, u3"

  Scenario: a removal is not remembered for ever
    When after 0.5 s the registry at 0:2 has "u1, u3"
    And after 31 s the registry at 1:1 has "u1*, u2*, u3*"
    Then the view has "u1, u2, u3"

  Scenario Outline: an entry of the copy that is held back is used if it stands, <what>
    When after 0.5 s the registry at 0:2 has "u1, u3"
    And after 1 s the registry at 1:1 has "u1*, u2*, u3*"
    And after 28 s the registry at 1:2 changes to "<change>"
    Then the view has "u1, u3"
    When after 2 s the registry is reported unchanged
    Then the view has "<upstreams>"

    Examples:
      | what                           | change | upstreams  |
      | as its upstream lives          | u1     | u1, u2, u3 |
      | and not if it expires          | -u2    | u1, u3     |

  Scenario: an upstream that was removed and is back stays when the copy has it as well
    When after 0.5 s the registry at 0:2 has "u1, u3"
    And after 1 s the registry at 0:3 changes to "u2"
    And after 1 s the registry at 1:1 has "u1*, u3*"
    And after 1 s the registry at 2:1 has "u1*, u2*, u3*"
    And after 3 s the registry at 2:2 has "u1*, u2*, u3*"
    Then the view has "u1, u2, u3"
    And other hosts are told of "u1, u2, u3"

  Scenario: an entry of the copy that is held back is forgotten if a full read lacks it
    When after 0.5 s the registry at 0:2 has "u1, u3"
    And after 1 s the registry at 1:1 has "u1*, u2*, u3*"
    And after 1 s the registry at 1:2 has "u1*, u3*"
    And after 31 s the registry is reported unchanged
    Then the view has "u1, u3"

  Scenario: a later incarnation than the one that was removed is used
    When after 0.5 s the registry at 0:2 has "u1, u3"
    And after 1 s the registry at 1:1 has "u1*, u2 of 9*, u3*"
    Then the view has "u1, u2, u3"

  Scenario: a draining upstream that the copy shows as ready stays draining
    When "u2" reports that it drains
    And after 1 s the registry at 1:1 has "u1*, u2*, u3*"
    Then "u2" is draining
    When after 1 s the registry at 1:2 changes to "u2"
    Then "u2" is draining

  Scenario: an entry of the copy does not replace what is known of the same incarnation
    When "u2" registers with 5 slots
    And after 1 s the registry at 1:1 has "u1*, u2*, u3*"
    Then "u2" has 5 slots
    When after 1 s the registry at 1:2 changes to "u2"
    Then "u2" has 2 slots

  Scenario: what another host read before the restore changes nothing after it
    When after 1 s the registry at 1:1 has "u1*, u2, u3"
    And after 0.1 s the registry at 0:9 changes to "u1, -u2"
    Then the view has "u1, u2, u3"
    And the confirmed incarnations are "u2, u3"

  Scenario: an incarnation is confirmed once its entry is written in the new era
    Then the confirmed incarnations are "u1, u2, u3"
    And none is confirmed for an era that was not read yet
    When after 1 s the registry at 1:1 has "u1*, u2"
    Then the confirmed incarnations are "u2"
    And entries that may be from the copy are "u1"
    When after 1 s the registry at 1:2 changes to "u1"
    Then the view has changed
    And the confirmed incarnations are "u1, u2"
    And entries that may be from the copy are ""

  Scenario: an upstream that is only known from the copy is used, and confirmed later
    When after 1 s the registry at 1:1 has "u1, u2, u3, u4*"
    Then the view has "u1, u2, u3, u4"
    And the confirmed incarnations are "u1, u2, u3"
    When after 1 s the registry at 1:3 changes to "u4"
    And after 1 s the registry at 1:2 changes to "u4*"
    Then the confirmed incarnations are "u1, u2, u3, u4"
