Feature: Client of the platform's store
  Guards against writes whose outcome is guessed, and against waiting forever for a silent store.

  Scenario Outline: a write returns its version or says whether it may have taken effect
    Given the store answers "<answer>"
    When the store client writes
    Then the write ends as "<outcome>"

    Examples:
      | answer    | outcome                |
      | committed | version 12             |
      | lost race | ConditionFailedError   |
      | busy      | PlatformUnavailableError |
      | throttled | PlatformUnavailableError |
      | reset     | WriteOutcomeUnknownError |
      | close     | WriteOutcomeUnknownError |
      | silent    | WriteOutcomeUnknownError |
      | bad json  | WriteOutcomeUnknownError |

  Scenario Outline: a read of changes returns the rows or an error
    Given the store answers "<answer>"
    When the store client reads changes
    Then the read ends as "<outcome>"

    Examples:
      | answer    | outcome                  |
      | two rows  | 2 rows at 20             |
      | gone      | HistoryExpiredError      |
      | busy      | PlatformUnavailableError |
      | silent    | PlatformUnavailableError |
      | unreadable row | PlatformUnavailableError |
      | nested row | PlatformUnavailableError |
      | nested body | PlatformUnavailableError |

  Scenario: the owners of a large fleet fit in one row
    Given the store answers "committed"
    When the store client writes owners of 400 upstreams with 1200 spans
    Then the value that the store received has at most 65536 bytes

  Scenario: a table that does not fit in one response is read in pages
    Given the store answers "first page, last page"
    When the store client reads a table
    Then the read ends as "3 rows at 29"

  Scenario: changes continue after the last row of a truncated response
    Given the store answers "truncated changes"
    When the store client reads changes
    Then the read ends as "2 rows at 20"

  Scenario: a removed or unusable entry does not count as an upstream
    Given the store answers "entries"
    When the registry is read
    Then the registry has "u1 usable, u2 none, u3 none"

  Scenario: an entry that is nested too deeply does not end the process, and the others hold
    Given the store answers "a nested entry"
    When the registry is read
    Then the registry has "u1 usable, u4 none"
