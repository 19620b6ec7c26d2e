Feature: Calls and pushed rows between peers
  Replies reach the calls that they belong to, and errors of handlers do not stop the hub.

  Scenario: replies out of order reach their own calls
    Given peers "ab"
    When calls with the revisions 1 to 5 are answered in reverse order
    Then the peer result "calls and replies" is "[(5, 5), (4, 4), (3, 3), (2, 2), (1, 1)]"

  Scenario Outline: a call that cannot be carried out is answered with Failed
    Given peers "ab"
    When calls meet a handler that <fault>
    Then the peer result "reply" is "<reply>"
    And the peer result "next call" is "done"

    Examples:
      | fault                 | reply             |
      | does not exist        | Failed peer.call  |
      | raises ValueError     | Failed peer.call  |
      | raises PlatformError  | Failed table.read |
      | returns no reply      | Failed peer.call  |

  Scenario: a call of a host to itself is served, as when units move between two upstreams that it holds
    Given peers "a"
    When calls of a host to itself are made
    Then the peer result "reply" is "a@1 own"
    And the peer result "failed reply" is "down table.read"

  Scenario: the late reply to a call that timed out does not reach a later call
    Given peers "a"
    When a call to a scripted peer times out and its reply arrives during the next call
    Then the peer result "first call" is "PeerUnreachableError sent"
    And the peer result "second reply" is "2"

  Scenario: large calls and many small ones that are made at once arrive unchanged
    Given peers "ab"
    When two calls with 3000 records of 1 KB and 100 small ones are made at once
    Then the peer result "calls lost or changed" is "0"

  Scenario: pushed rows reach every connected peer in order, and the revision comes last
    Given peers "abc"
    When 48 rows up to revision 48 and then 1 row are pushed by "a"
    Then the peer result "rows in order" is "[True, True]"
    And the peer result "revisions" is "[[0, 0, 0, 0, 0, 48, 0], [0, 0, 0, 0, 0, 48, 0]]"

  Scenario: rows for a peer that reads too slowly are dropped, and its mirror no longer counts as complete
    Given peers "a"
    When 5000 rows of 4 KB are pushed to a peer that reads slowly
    Then the peer result "queued bytes" is from 8000000 to 8388608
    And the peer result "revisions" is "{0}"
