Feature: Hosts that the store refuses find the coordinator
  The address of the coordinator is in the store. Guards against hosts that keep using old owners
  while the store refuses them, because they do not learn that another host took the role.

  Scenario Outline: <who> is redirected to the new coordinator by another host
    Given three linked hosts of which "h1" has the role
    When the store refuses <refused>
    Then "<host>" is linked to "h3" within 3 s of the takeover

    Examples:
      | who                    | refused       | host |
      | a host                 | "h1" and "h2" | h2   |
      | the former coordinator | "h1" and "h2" | h1   |

  Scenario: 5 s after the store refuses all hosts, none has the role or is linked
    Given three linked hosts of which "h1" has the role
    When the store refuses "h1" and "h2" and "h3"
    Then no host has the role after 5 s, and none is linked

  Scenario Outline: a host that learns that it lost the role does not <act>
    Given a host whose role lapsed while another host took it
    When the host learns of the other host and then tries to <act>
    Then the other host still has the role, at its version

    Examples:
      | act                |
      | write owners       |
      | give the role back |
