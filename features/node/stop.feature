Feature: Start and stop of a node
  Guards against a node that is killed before its services have stopped: by a signal that it does
  not handle yet, or at the end of its grace time.

  Scenario: the node stops its services if SIGTERM arrives while they start
    When the node gets SIGTERM before its services have started
    Then the node stops its services

  Scenario: the node stops in good order if SIGHUP and a second SIGTERM arrive after SIGTERM
    When the node gets SIGHUP and SIGTERM again while its services stop
    Then the node stops its services

  Scenario Outline: a stopping host takes only requests that it will probably not break off
    Given a host that gets the signal to stop at 0 s and breaks off requests at 5.6 s
    When a <kind> request that is given up after <wait> s and should take <expected> s arrives at <at> s
    Then the request is <taken>

    Examples:
      | kind       | wait | expected | at  | taken   |
      | repeatable | 4    | 1.0      | 1.5 | taken   |
      | once-only  | 4    | 1.0      | 1.5 | taken   |
      | repeatable | 4    | 1.0      | 2.5 | taken   |
      | repeatable | 4    | 1.5      | 2.5 | refused |
      | once-only  | 4    | 0.1      | 2.5 | refused |
      | repeatable | 4    | 0.1      | 3.1 | refused |
      | repeatable | 2    | 1.0      | 3.1 | taken   |
      | repeatable | 60   | 0.1      | 0.1 | taken   |
      | once-only  | 60   | 0.1      | 0.1 | refused |

  Scenario: the grace time runs from the announcement, even if another service is slow to stop
    Given a listener with 6 s of grace and an open connection
    When a stop is announced, another service takes 1.4 s to stop, and then the listener stops
    Then the listener has stopped within 6 s of the announcement

  # Guards against requests that are taken for the time after the kill, and lost with the process.
  Scenario: the grace time runs from the signal, even if the process is busy when it arrives
    When the node gets SIGTERM while its process is busy for 1 s
    Then the stop ends within the grace time of the signal

  # Guards against requests that a stop breaks off at once because the process was paused before it.
  Scenario: a stop right after a long pause leaves half of the grace time
    When the node gets SIGTERM right after its process was busy for 3 s
    Then the stop ends at least 0.59 s after the signal
