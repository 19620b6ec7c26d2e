Feature: Connections to upstreams
  Guards against sending a request that may run only once on a connection whose state the upstream has
  dropped, and against idle connections that use up the number that an upstream accepts from all hosts
  together.

  Scenario Outline: reuse of a connection that was idle for <idle> s
    Given a connection pool and an upstream
    When a connection was used and is idle for <idle> s
    And a connection is taken for <request>
    Then the upstream has seen <count> connections

    Examples:
      | idle | request                        | count |
      | 0.1  | a request that may run once    | 1     |
      | 0.35 | a request that may run once    | 2     |
      | 0.35 | a request that may be repeated | 1     |

  Scenario: a connection that was idle is kept for requests that may be repeated
    Given a connection pool and an upstream
    When a connection was used and is idle for 0.35 s
    And a connection is taken for a request that may run once
    And a connection is taken for a request that may be repeated
    Then the upstream has seen 2 connections

  Scenario: the number of idle connections is limited
    Given a connection pool and an upstream
    When 8 connections that were open at the same time are released
    Then 3 idle connections are kept
