Feature: Reading configuration, registry and owners
  Guards against a host that spends the calls of all hosts on a source that turns it away, and against
  one that notices the source's return too late.

  Scenario: a source that turns the host away is asked less and less
    Given a watcher whose sources turn it away
    When the watcher runs for 9 s
    Then the sources were asked at most 40 times

  Scenario: a source that returns is read within a second
    Given a watcher whose sources turn it away
    When the watcher runs for 9 s
    And the sources return and the watcher runs for 1.1 s
    Then the registry and the configuration have been read

  Scenario: owners that change all the time are read a few times a second
    Given a watcher whose owners change all the time
    When the watcher runs for 3 s
    Then the owners were read at most 12 times

  Scenario: a host that is kept informed reads nothing but a newer configuration
    Given a watcher that is covered but for the configuration
    When the watcher runs for 3 s
    Then only the configuration was read
