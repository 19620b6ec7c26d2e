Feature: Links when the store comes back from an older copy
  Hosts that start late have the older configuration, and each host knows of other removals. Guards
  against a fleet that goes back to what the copy shows, and against builds that cannot be linked
  during an update. Revisions are written ERA:VERSION, and entries of the copy are marked with "*".

  Scenario: a coordinator with an older configuration asks one of the hosts for its newer one
    Given a coordinator with configuration 4 and 3 hosts with configuration 5, in links
    When the links have run for 0.3 s
    Then the coordinator has configuration 4
    When the links have run for 2 s
    Then the coordinator has configuration 5
    And one host was asked for its configuration

  Scenario: a coordinator does not ask for an older configuration, or none
    Given a coordinator with configuration 5 and 3 hosts with configuration 4, in links
    When the links have run for 2 s
    Then the coordinator has configuration 5
    And no host was asked for its configuration

  Scenario: a host ignores an upstream of the copy that it knows to be removed, until it returns
    Given a coordinator with configuration 5 and 1 host with configuration 5, in links
    And all of them have the registry "u1, u2" of 0:1
    And the host has the registry "u1" of 0:2
    When the coordinator has the registry "u1*, u2*, u3*" of 1:1, and the links run for 1 s
    Then the host has the upstreams "u1, u3", of which "u1, u3" may be from the copy
    When the coordinator has the registry "u1*, u2, u3*" of 1:2, and the links run for 1 s
    Then the host has the upstreams "u1, u2, u3", of which "u1, u3" may be from the copy
    When the coordinator has the registry "u1, u2, u3" of 1:3, and the links run for 1 s
    Then the host has the upstreams "u1, u2, u3", of which "" may be from the copy

  Scenario: a host that has read a later era than the coordinator reads for itself
    Given a coordinator with configuration 5 and 1 host with configuration 5, in links
    And all of them have the registry "u1, u2" of 0:1
    When the links have run for 1 s
    Then the host is up to date
    Given the host has the registry "u1, u2" of 1:1
    When the links have run for 1 s
    Then the host is not up to date

  Scenario: entries that were not changed but written again are sent again, and all in a new era
    Given a cursor that has sent "u1*, u2*, u3" of era 1
    Then for "u1*, u2, u3" of era 1 it sends the changes "u2"
    And for "u1*, u2, u3" of era 1 it sends nothing
    And for "u1*, u2, u3, u4*" of era 1 it sends the changes "u4*"
    And for "u1*, u2, u3, u4*" of era 2 it sends all of "u1*, u2, u3, u4*"

  Scenario Outline: <message> of an older build is decoded, and an older build decodes that of this one
    When <message> is encoded without the fields of this build
    Then it is decoded with their defaults
    And the one of this build is decoded without them

    Examples:
      | message  |
      | a report |
      | a state  |
