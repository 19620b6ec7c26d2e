Feature: Kernel
  Services are started in order, found by class and stopped in reverse order. Guards against services
  that are stopped while others still use them.

  Scenario: services stop in the reverse order of their start
    Given a kernel with the services "a" and "b"
    When the kernel runs and is shut down
    Then the events are "start a, start b, stop b, stop a"
