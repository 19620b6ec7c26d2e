Feature: HTTP client of the platform
  Guards against writes reported as failed that took effect, against reads that hang on silent
  connections, and against writes that are sent twice.

  Scenario: rows are read by key and by prefix over one connection
    Given a platform answers "200 row, 404, 200 scan"
    When the platform client reads "pins/a b?c", "config/current" and scans "units/" since 7
    Then the platform client returns version 3, nothing and 2 rows at revision 9
    And the platform received "GET /rows/pins/a%20b%3Fc"
    And the platform received "GET /rows?prefix=units%2F&since=7"
    And the platform counted 1 connection

  Scenario Outline: a read that fails says that the platform is not available
    Given a platform answers "<behaviour>"
    When the platform client reads the row "config/current"
    Then the platform client raises PlatformUnavailableError at table.read within 2 s

    Examples:
      | behaviour  |
      | refuse     |
      | close      |
      | silent     |
      | stall body |
      | 503        |
      | 500        |
      | 200 broken |

  Scenario Outline: a write that fails says whether it may have taken effect
    Given a platform answers "<behaviour>"
    When the platform client writes "config/current" at version 4
    Then the platform client raises <error> at table.transact within 2 s

    Examples:
      | behaviour   | error                    |
      | refuse      | PlatformUnavailableError |
      | 503         | PlatformUnavailableError |
      | 400         | PlatformUnavailableError |
      | close       | WriteOutcomeUnknownError |
      | silent      | WriteOutcomeUnknownError |
      | stall body  | WriteOutcomeUnknownError |
      | 500         | WriteOutcomeUnknownError |
      | 200 broken  | WriteOutcomeUnknownError |
      | 409 current | ConditionFailedError     |

  Scenario: a write returns the new rows
    Given a platform answers "200 versions"
    When the platform client writes "config/current" at version 4
    Then the platform client returns the row "config/current" with version 5 and revision 12

  Scenario: a read on a connection that was closed while idle is repeated
    Given a platform answers "200 row, close, 200 row"
    When the platform client repeats 2 reads of "a"
    Then the platform client returns version 3 each time
    And the platform counted 2 connections

  Scenario: a write on a connection that was closed while idle is not sent again
    Given a platform answers "200 row, close, 200 versions"
    When the platform client reads the row "a", then writes "a" at version 4
    Then the platform client raises WriteOutcomeUnknownError at table.transact within 2 s
    And the platform counted 1 connection

  Scenario: after a silent connection the idle ones are not used any more
    Given a platform with 2 idle connections of which one goes silent
    When the platform client repeats 2 reads of "a"
    Then the platform client raises PlatformUnavailableError and then returns version 3
    And the platform counted 3 connections

  Scenario: a write that waited in line for a connection was not sent
    Given a platform that never answers
    When the platform client sends 33 writes at once
    Then the platform client raises WriteOutcomeUnknownError 32 times and PlatformUnavailableError once

  Scenario: objects and hosts
    Given a platform answers "200 bytes, 404, 204, 200 hosts"
    When the platform client gets "x", gets "y", puts "z" and lists the hosts
    Then the platform client returns the object, nothing, success and 1 leaving host
