Feature: Logs of a node
  Guards against log output that blocks the node when its reader is slow, and against a failing
  dependency that floods the log.

  Scenario: a stalled reader does not block writing, and later gets the number of dropped lines
    Given a pipe that nobody reads
    When 5000 log lines are written to it
    Then writing took less than 1 s
    And the reader later gets whole lines and the number of dropped lines

  Scenario: lines of an event beyond its limit per second are counted instead of written
    Given the rate limiter of a node
    When an event is logged 500 times in a second, and once in the next
    Then 21 lines are written
    And the last line says that 480 were suppressed

  Scenario: the event "request" has a separate, higher limit
    Given the rate limiter of a node
    When the event "request" is logged 300 times
    Then 300 lines are written

  Scenario Outline: a delay of the event loop is logged with its kind, <kind>
    Guards against requests that are late without a line that says why.

    Given an event loop that is watched
    When <cause>
    Then one delay of kind "<kind>" and at least 0.2 s is logged and counted

    Examples:
      | kind | cause                                  |
      | busy | a task runs for 0.2 s without a pause  |
      | late | the process sleeps 0.2 s past a wait   |
