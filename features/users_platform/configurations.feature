Feature: Taking in configurations
  Guards against an event loop that stands still while a large configuration is taken in: requests then
  wait, and those on connections that are being closed may be lost. Also guards against routes that are
  mixed from two configurations, and against an older configuration after a newer one.

  Scenario Outline: other tasks run while a configuration of 5000 routes is taken in
    Given a store with configurations of 5000 routes, <share> % of which differ in each
    When a host takes in 9 of them
    Then no task keeps the event loop for more than 20 ms of processor time

    Examples:
      | share |
      | 1     |
      | 100   |

  Scenario: other tasks run while a configuration of 5000 routes is sent over a link
    When a configuration of 5000 routes is sent over a link 9 times
    Then no task keeps the event loop for more than 20 ms of processor time

  Scenario: a storm of configurations ends with the newest
    Given a store with configurations of 1000 routes, 10 % of which differ in each
    When 60 of them are written one after the other while a host takes them in
    Then versions in force only increase, and the last one is the newest
    And some were never in force, since a newer one was waiting
    And each one in force was whole

  Scenario: unchanged routes are shared with the previous configuration
    Given a store with configurations of 100 routes, 10 % of which differ in each
    When a host takes in 2 of them
    Then 90 routes of both are the same objects, and 10 differ

  Scenario: a configuration that is read again is not decoded again
    Given a store with configurations of 100 routes, 10 % of which differ in each
    When a host reads the same one twice
    Then both reads return the same object

  Scenario Outline: a configuration with a malformed route is rejected, and the one in force stays
    Given a store with configurations of 100 routes, 10 % of which differ in each
    When a host takes in one, then one in which <text> of an unchanged route is replaced by <malformed>, then one
    Then the second one was rejected with a reason
    And the first one stayed in force until the third one, which has the routes that it should have

    Examples:
      | text                       | malformed                     |
      | "targetLatencyS": 0.6      | "targetLatencyS": "0.6"       |
      | "maxAttempts": 2           | "maxAttempts": 99999999999999999999 |
      | "maxAttempts": 2           | "maxAttempts": 2, "more": nested lists |
      | "maxAttempts": 2           | "maxAttempts": 2,             |
      | "name": "r-99"             | "name": "r-\xff"              |
      | "service": "service-19"    | "more": 1                     |
      | "routeType": "idempotent"  | "routeType": "other"          |
