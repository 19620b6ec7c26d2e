Feature: Logs of a node
  The volume is bounded and a reader that is behind delays nobody.

  Scenario: a reader that does not read delays nothing, and learns of the dropped lines
    Given a pipe that nobody reads
    When 5000 log lines are written to it
    Then writing took less than 1 s
    And the reader later finds whole lines and a count of those that are missing

  Scenario: lines of one event are summed after the first ones of a second
    Given the rate limiter of a node
    When an event is logged 500 times in a second, and once in the next
    Then 21 lines are written
    And the last line says that 480 were suppressed

  Scenario: served requests have a limit of their own
    Given the rate limiter of a node
    When the event "request" is logged 300 times
    Then 300 lines are written
