Feature: Peer connections
  Connections are dialled when needed, watched, and replaced when they go silent.

  Scenario: open connections to a partner go silent for good while new ones work
    Given peers "ab"
    And the peer "a" has the partner "b"
    When the peers' open connections go silent for good after 2 s
    Then the peer "a" was never without a vouched reading for more than 0.45 s
    And the peers dialled at most 2 new connections

  Scenario: a call over a connection that went silent fails within 1.3 s
    Given peers "ab"
    When the peer "a" calls "b" over a connection that has gone silent
    Then the peers' call fails as sent after 1.0 to 1.3 s
    And the peers' next call succeeds

  Scenario: a partner is cut off one way, so that its answers are lost
    Given peers "ab"
    And the peer "a" has the partner "b"
    When the peers' direction from "b" to "a" is cut during a request
    Then the peers' request fails as sent after 0.16 to 0.29 s
    And the peer "a" has no vouched reading later than the cut
    And the peers' handler was cancelled

  Scenario: the dialler of a running request disappears without closing
    Given peers "ab"
    When the peers' direction from "a" to "b" is cut during a request
    Then the peers' handler was cancelled within 3.5 s

  Scenario: a refused connection is told from one without an answer
    Given peers "a"
    When the peer "a" calls a host that refuses and one that does not answer
    Then the peers' errors say refused, then not refused, and both not sent
    And the peer took 1.0 s to give up the second

  Scenario: dials of a member that refuses are spread out
    Given peers "a"
    When the peer "a" tries 1000 calls in 10 s to a host that refuses
    Then the peers dialled between 5 and 20 times and no call waited

  Scenario: the address of a member is taken by its next incarnation
    Given peers "a"
    When the peer "a" calls "b@1" at an address where "b@2" listens
    Then the peers' call fails as not sent and "b@2" received only a Hello

  Scenario: a connection without use is closed after a minute
    Given peers "ab"
    When the peer "a" calls "b" and then nothing for 70 s without digests
    Then the peers' connection was closed after 60 to 61 s

  Scenario: a handler that takes long does not look like a silent connection
    Given peers "ab"
    When the peer "a" makes a call that "b" answers after 20 s
    Then the peers' call succeeds on the first connection

  Scenario: a process that was paused does not take its peers for silent
    Given peers "ab"
    And the peer "a" has the partner "b"
    When the peers' clock jumps by 5 s
    Then the peers' connection is still the first one

  Scenario: hosts exchange digests with members that are not partners
    Given peers "abcdef"
    When the peers run for 10 s with different configuration versions
    Then every peer knows the versions of all others

  Scenario: malformed frames end their own connection only
    Given peers "ab"
    When 200 connections with random bytes, seed 5, reach peer "b" before and after Hello
    Then the peers' calls still succeed
    And the peer "b" has closed the 200 connections

  Scenario: stopping waits for requests in progress and refuses new ones as not run
    Given peers "ab"
    When the peer "b" stops during a request of 30 s and "a" sends another
    Then the peers' first request is complete and the stop took 30 to 31 s
    And the peers' other request was refused with NotOwnerError
    And the peers' connections are all closed
