Feature: Kernel
  Services are started in order, found by class and stopped in reverse order. Guards against services
  that are stopped while others still use them.

  Scenario: services stop in the reverse order of their start
    Given a kernel with the services "a" and "b"
    When the kernel runs and is shut down
    Then the events are "start a, start b, stop b, stop a"

  Scenario: a start that does not end is given up at the shutdown
    Given a kernel with the services "a" and "b", of which "b" never starts
    When the kernel runs and is shut down after 0.1 s
    Then the events are "start a, stop a"
