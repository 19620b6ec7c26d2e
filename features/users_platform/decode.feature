Feature: Decoding of the platform's rows
  Guards against foreign or malformed entries that are used as upstreams, and against malformed
  configurations that are accepted.

  Scenario Outline: an entry is decoded if it describes a usable upstream
    When the entry <entry> is decoded
    Then the entry is "<result>"

    Examples:
      | entry                                                                                                                              | result                                |
      | {"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","capacity":2,"state":"ready","sequence":4,"born":7}               | s 10.0.0.1:80 in z, 2 slots, born 7   |
      | {"service":"s","address":"10.0.0.1:80","zone":"z","capacity":2,"state":"draining","sequence":4,"born":7,"more":[1]}                | s 10.0.0.1:80 in z, 2 slots, born 7, draining |
      | {"service":"s","address":"10.0.0.1:80","zone":"z","capacity":2,"state":"ready","sequence":4}                                       | unusable                              |
      | {"service":"s","address":"10.0.0.1:80","zone":"z","capacity":"2","state":"ready","sequence":4,"born":7}                            | unusable                              |
      | {"service":"s","address":"10.0.0.1:80","zone":"z","capacity":true,"state":"ready","sequence":4,"born":7}                           | unusable                              |
      | {"service":"s","address":"10.0.0.1:80","zone":"z","capacity":0,"state":"ready","sequence":4,"born":7}                              | unusable                              |
      | {"service":"s","address":"10.0.0.1:80","zone":"z","capacity":2,"state":"asleep","sequence":4,"born":7}                             | unusable                              |
      | {"service":"s","address":"host:80","zone":"z","capacity":2,"state":"ready","sequence":4,"born":7}                                  | unusable                              |
      | {"service":"s","address":"10.0.0.1:99999","zone":"z","capacity":2,"state":"ready","sequence":4,"born":7}                           | unusable                              |
      | {"service":"","address":"10.0.0.1:80","zone":"z","capacity":2,"state":"ready","sequence":4,"born":7}                               | unusable                              |
      | [1, 2]                                                                                                                             | unusable                              |
      | not json                                                                                                                           | unusable                              |

  Scenario Outline: an entry with a number that messages between hosts cannot hold is not usable
    When an entry with <field> <value> is decoded
    Then the entry is "unusable"

    Examples:
      | field    | value                                    |
      | born     | 340282366920938463463374607431768211456  |
      | born     | 9223372036854775808                      |
      | born     | -9223372036854775809                     |
      | capacity | 18446744073709551616                     |
      | sequence | 340282366920938463463374607431768211456  |

  Scenario Outline: an entry whose id cannot be sent in a header is not usable
    When an entry with the id "<id>" is decoded
    Then the entry is "unusable"

    Examples:
      | id      |
      |         |
      | u 1     |
      | u\n1    |
      | ü1      |
      | 服務    |

  Scenario: a configuration with a number that messages between hosts cannot hold is rejected
    When a configuration of version 340282366920938463463374607431768211456 is decoded
    Then the configuration is rejected

  Scenario: a configuration is decoded into the router's own types
    When a configuration in the platform's format is decoded
    Then its routes are "r-1 idempotent a 90 b 10, r-2 once a 1, r-3 once bulky b 1"
    And its keyed services are "a"
    And its idle timeout is 15 s

  Scenario: a configuration without a service for a route is rejected
    When a configuration with a route without a service is decoded
    Then the configuration is rejected
