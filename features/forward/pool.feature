Feature: Connections to upstreams
  Guards against work that may run once and is sent on a connection that the upstream has forgotten,
  and against idle connections that use up what an upstream accepts from all hosts together.

  Scenario Outline: which connection a request gets after another one was idle for <rest> s
    Given a connection pool and an upstream
    When a connection was used and rests for <rest> s
    And a connection is taken for <work>
    Then the upstream has seen <count> connections

    Examples:
      | rest | work                     | count |
      | 0.1  | work that may run once   | 1     |
      | 0.35 | work that may run once   | 2     |
      | 0.35 | work that may be repeated | 1     |

  Scenario: a rested connection is kept for work that may be repeated
    Given a connection pool and an upstream
    When a connection was used and rests for 0.35 s
    And a connection is taken for work that may run once
    And a connection is taken for work that may be repeated
    Then the upstream has seen 2 connections

  Scenario: few idle connections are kept
    Given a connection pool and an upstream
    When 8 connections were used at the same time
    Then 3 idle connections are kept
