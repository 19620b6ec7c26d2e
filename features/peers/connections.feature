Feature: Peer connections
  Connections are dialled on demand, supervised, and replaced when they go silent.

  Scenario: a partner is dialled again if its open connections go silent while new ones work
    Given peers "ab"
    And the peer "a" has the partner "b"
    When the peers' open connections go silent permanently after 2 s
    Then the peer result "greatest age of the confirmed reading" is from 0.25 to 0.45
    And the peer result "new dials" is from 1 to 2

  Scenario: a call over a connection that went silent fails, and the next one succeeds
    Given peers "ab"
    When the peer "a" calls "b" over a connection that has gone silent
    Then the peer result "silent call" is "PeerUnreachableError sent"
    And the peer result "silent call time" is from 1.0 to 1.3
    And the peer result "next call" is "done"

  Scenario Outline: a request that must run at most once is not sent over a silent connection
    Given peers "ab"
    When the peer "a" sends "b" a request with once <once> over a connection that has gone silent
    Then the peer result "silent request" is "PeerUnreachableError <sent>"
    And the peer result "next request" is "done"

    Examples:
      | once  | sent     |
      | true  | not sent |
      | false | sent     |

  Scenario: a request fails and confirmations stop if the answers of a partner are lost
    Given peers "ab"
    And the peer "a" has the partner "b"
    When the peers' traffic from "b" to "a" is cut during a request
    Then the peer result "request" is "PeerUnreachableError sent"
    And the peer result "time from cut to failure" is from 0.16 to 0.29
    And the peer result "confirmed reading minus time of the cut" is from -0.1 to 0
    And the peer result "time from cut to cancellation" is from 0.16 to 3.5

  Scenario: a running request is cancelled if its dialling side disappears without closing
    Given peers "ab"
    When the peers' traffic from "a" to "b" is cut during a request
    Then the peer result "time from cut to cancellation" is from 1 to 3.5

  Scenario: over TCP calls work, and fail as not sent at an invalid address or after a stop
    Given peers "a"
    When the peers connect over TCP on loopback, after calls to invalid addresses
    Then the peer result "host name" is "PeerUnreachableError not sent"
    And the peer result "invalid port" is "PeerUnreachableError not sent"
    And the peer result "empty address" is "PeerUnreachableError not sent"
    And the peer result "call" is "done"
    And the peer result "member at the address" is "other@1"
    And the peer result "call after the stop" is "PeerUnreachableError not sent refused"

  Scenario: a refused connection is distinguished from one without an answer
    Given peers "a"
    When the peer "a" calls a host that refuses and one that does not answer
    Then the peer result "refusing host" is "PeerUnreachableError not sent refused"
    And the peer result "silent host" is "PeerUnreachableError not sent"
    And the peer result "silent host time" is from 0.99 to 1.01

  Scenario: dials of a member that refuses connections back off, and no call waits
    Given peers "a"
    When the peer "a" tries 1000 calls in 10 s to a host that refuses
    Then the peer result "dials" is from 5 to 20
    And the peer result "longest call" is from 0 to 0.001

  Scenario: a call is not sent to the next incarnation at the address of a member
    Given peers "a"
    When the peer "a" calls "b@1" at an address where "b@2" listens
    Then the peer result "call" is "PeerUnreachableError not sent"
    And the peer result "frames received by the next incarnation" is "['Hello']"

  Scenario: an unused connection is closed after a minute
    Given peers "ab"
    When the peer "a" calls "b" and then nothing
    Then the peer result "lifetime of the connection" is from 60 to 61

  Scenario: a slow handler does not make its connection count as silent
    Given peers "ab"
    When the peer "a" makes a call that "b" answers after 20 s
    Then the peer result "call" is "done"
    And the peer result "dials" is "1"

  Scenario: a process that was paused does not count its peers as silent
    Given peers "ab"
    And the peer "a" has the partner "b"
    When the peers' clock jumps by 5 s
    Then the peer result "dials" is "1"

  Scenario: hosts exchange digests with members that are not partners
    Given peers "abcdef"
    When the peers run for 10 s with different configuration versions
    Then the peer result "known versions" is "ab1 ac2 ad3 ae4 af5 ba0 bc2 bd3 be4 bf5 ca0 cb1 cd3 ce4 cf5 da0 db1 dc2 de4 df5 ea0 eb1 ec2 ed3 ef5 fa0 fb1 fc2 fd3 fe4"

  Scenario: malformed frames end only their own connection
    Given peers "ab"
    When 200 connections with random bytes, seed 5, reach peer "b" before and after Hello
    Then the peer result "ended connections" is "200"
    And the peer result "connections left" is "0"
    And the peer result "next call" is "done"

  Scenario: stopping waits for requests in progress and refuses new ones as not run
    Given peers "ab"
    When the peer "b" stops during a request of 30 s
    Then the peer result "request in progress" is "done"
    And the peer result "request that crosses with the stop" is "NotOwnerError"
    And the peer result "request during the stop" is "PeerUnreachableError not sent refused"
    And the peer result "stop time" is from 29 to 30.5
    And the peer result "connections left" is "0"
