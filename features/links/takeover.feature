Feature: Hosts that the store turns away find the coordinator
  The address of the coordinator stands in the store. Guards against hosts that serve on old owners
  for as long as the store turns them away, because the role moved on without them.

  Scenario Outline: <who> is led to the new coordinator by another host
    Given three linked hosts of which "h1" has the role
    When the store turns away <away>
    Then "<blind>" is linked to "h3" within 3 s of the takeover

    Examples:
      | who                    | away          | blind |
      | a host                 | "h1" and "h2" | h2    |
      | the former coordinator | "h1" and "h2" | h1    |

  Scenario: a host whose store is gone for everyone asks on, without harm
    Given three linked hosts of which "h1" has the role
    When the store turns away "h1" and "h2" and "h3"
    Then no host has the role after 5 s, and none is linked

  Scenario Outline: a host that hears that it lost the role does not <act>
    Given a host whose role lapsed while another host took it
    When the host hears of the other host and then tries to <act>
    Then the other host still has the role, at its version

    Examples:
      | act                  |
      | write owners         |
      | give the role back   |
