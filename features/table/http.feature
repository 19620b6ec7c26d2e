Feature: HTTP client of the platform
  Guards against writes reported as failed that took effect, against reads that hang on silent
  connections, and against writes that are sent twice.

  Scenario: rows are read by key and by prefix over one connection
    Given a platform answers "200 row, 404, 200 scan"
    When the platform client does "read pins/a%b?c, read config/current, scan units/ 7"
    Then the platform client gets "version 3, nothing, 2 rows at 9"
    And the platform received "GET /rows/pins/a%25b%3Fc"
    And the platform received "GET /rows?prefix=units%2F&since=7"
    And the platform counted 1 connections

  Scenario Outline: a read that fails says that the platform is not available
    Given a platform answers "<behaviour>"
    When the platform client does "read config/current"
    Then the platform client gets "PlatformUnavailableError at table.read"

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
    When the platform client does "write config/current 4"
    Then the platform client gets "<error> at table.transact"

    Examples:
      | behaviour   | error                                    |
      | refuse      | PlatformUnavailableError                 |
      | 503         | PlatformUnavailableError                 |
      | 400         | PlatformUnavailableError                 |
      | close       | WriteOutcomeUnknownError                 |
      | silent      | WriteOutcomeUnknownError                 |
      | stall body  | WriteOutcomeUnknownError                 |
      | 500         | WriteOutcomeUnknownError                 |
      | 200 broken  | WriteOutcomeUnknownError                 |
      | 409 current | ConditionFailedError of [config/current] |

  Scenario: a write returns the new rows
    Given a platform answers "200 versions"
    When the platform client does "write config/current 4"
    Then the platform client gets "config/current version 5 at 12"

  Scenario: a read on a connection that was closed while idle is repeated
    Given a platform answers "200 row, close, 200 row"
    When the platform client does "read a, read a"
    Then the platform client gets "version 3, version 3"
    And the platform counted 2 connections

  Scenario: a write on a connection that was closed while idle is not sent again
    Given a platform answers "200 row, close, 200 versions"
    When the platform client does "read a, write a 4"
    Then the platform client gets "version 3, WriteOutcomeUnknownError at table.transact"
    And the platform counted 1 connections

  Scenario: after a silent connection the idle ones are not used any more
    Given a platform answers "200 row, 200 row, silent, 200 row"
    When the platform client does "2 reads at once, read a, read a"
    Then the platform client gets "done, PlatformUnavailableError at table.read, version 3"
    And the platform counted 3 connections

  Scenario: a write that waited in line for a connection was not sent
    Given a platform answers "silent"
    When the platform client does "33 writes at once"
    Then the platform client gets "1 PlatformUnavailableError 32 WriteOutcomeUnknownError"

  Scenario: objects and hosts
    Given a platform answers "200 bytes, 404, 204, 200 hosts"
    When the platform client does "get x, get y, put z, hosts"
    Then the platform client gets "6 bytes, nothing, nothing, 1 leaving"
