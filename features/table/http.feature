Feature: HTTP client of the platform
  Guards against writes that are reported as failed but took effect, against reads that hang on
  connections that stopped answering, and against writes that are sent twice.

  Scenario: rows are read by key and by prefix over one connection
    Given a platform answers "200 row, 404, 200 scan"
    When the platform client does "read pins/a%b?c, read config/current, scan units/ 7"
    Then the platform client gets "version 3, nothing, 2 rows at 9"
    And the platform received "GET /rows/pins/a%25b%3Fc"
    And the platform received "GET /rows?prefix=units%2F&since=7"
    And the platform counted 1 connections

  Scenario Outline: a failed read reports that the platform is not available
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

  Scenario Outline: a failed write reports whether it may have taken effect
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

  Scenario: a read is repeated if its reused connection is closed without a response
    Given a platform answers "200 row, close, 200 row"
    When the platform client does "read a, read a"
    Then the platform client gets "version 3, version 3"
    And the platform counted 2 connections

  Scenario: a write is not sent again if its reused connection is closed without a response
    Given a platform answers "200 row, close, 200 versions"
    When the platform client does "read a, write a 4"
    Then the platform client gets "version 3, WriteOutcomeUnknownError at table.transact"
    And the platform counted 1 connections

  Scenario: idle connections are not reused after one has stopped answering
    Given a platform answers "200 row, 200 row, silent, 200 row"
    When the platform client does "2 reads at once, read a, read a"
    Then the platform client gets "done, PlatformUnavailableError at table.read, version 3"
    And the platform counted 3 connections

  Scenario: a write that timed out while it waited for a connection is reported as not sent
    Given a platform answers "silent"
    When the platform client does "33 writes at once"
    Then the platform client gets "1 PlatformUnavailableError 32 WriteOutcomeUnknownError"

  Scenario: objects are read and written, and the hosts are listed
    Given a platform answers "200 bytes, 404, 204, 200 hosts"
    When the platform client does "get x, get y, put z, hosts"
    Then the platform client gets "6 bytes, nothing, nothing, 1 leaving"
