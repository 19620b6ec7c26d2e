Feature: Calls and pushed rows between peers
  A reply reaches its own call, and no fault of a handler stops the hub.

  Scenario: replies out of order reach their own calls
    Given peers "ab"
    When calls with the revisions 1 to 5 are answered in reverse order
    Then the peers' calls and replies is "[(5, 5), (4, 4), (3, 3), (2, 2), (1, 1)]"

  Scenario Outline: a call that cannot be carried out is answered Failed
    Given peers "ab"
    When calls meet a handler that <fault>
    Then the peers' reply is "<reply>"
    And the peers' next call is "done"

    Examples:
      | fault                 | reply             |
      | does not exist        | Failed peer.call  |
      | raises ValueError     | Failed peer.call  |
      | raises PlatformError  | Failed table.read |
      | returns no reply      | Failed peer.call  |

  Scenario: a call of a host to itself is served, as between two upstreams that it holds
    Given peers "a"
    When calls of a host to itself are made
    Then the peers' reply is "a@1 own"
    And the peers' failed reply is "down table.read"

  Scenario: the reply to a call that was given up does not reach a later one
    Given peers "a"
    When calls to a scripted peer time out, and their replies come late
    Then the peers' first call is "PeerUnreachableError sent"
    And the peers' second reply is "2"

  Scenario: a large call and many small ones pass together
    Given peers "ab"
    When calls with 3000 records of 1 KB and 100 small ones are made at once
    Then the peers' calls lost or changed is "0"

  Scenario: pushed rows reach every connected peer in order, and the revision comes last
    Given peers "abc"
    When 48 rows up to revision 48 and then 1 row are pushed by "a"
    Then the peers' rows in order is "[True, True]"
    And the peers' revisions is "[[0, 0, 0, 0, 0, 48, 0], [0, 0, 0, 0, 0, 48, 0]]"

  Scenario: a peer that does not read gets no more rows than the queue holds
    Given peers "a"
    When 5000 rows of 4 KB are pushed to a peer that reads slowly
    Then the peers' queued bytes is from 8000000 to 8388608
    And the peers' revisions is "{0}"
