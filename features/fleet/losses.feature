Feature: Lost, paused and stopped processes of a fleet
  Guards against requests that run twice or are cut off, and units that stay unserved, when a process
  ends or is paused. Outcomes depend on the machine: they are printed, and most requests must complete.

  Background:
    Given the fleet runs

  Scenario: a host is stopped while it receives one upload and dispatches another
    When the fleet's host that holds "roster/roster-00" gets SIGTERM during both uploads
    Then both of the fleet's uploads get complete responses and the host exits with 0
    And the fleet's records show no violation

  Scenario Outline: every unit is served again after an event under load: <event>
    When the fleet is under load with repeats through other hosts and <event>
    Then every unit of the fleet is served again
    And the fleet's records show no violation
    And most of the fleet's requests completed, with <effect>

    Examples:
      | event                                                    | effect                  |
      | the holder of "bookings/bookings-01" is killed           | repeats                 |
      | the holder of "bookings/bookings-00" is paused for 2 s   | repeats                 |
      | the upstream "bookings/bookings-02" is paused for 2 s    | new owners of its units |
