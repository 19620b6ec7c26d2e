Feature: Reading configuration, registry and owners
  Guards against a host that often calls a source that refuses it, since refused calls cost as much as
  others, and against one that notices too late that the source is available again.

  Scenario: a source that refuses calls is called less and less often
    Given a watcher whose sources refuse its calls
    When the watcher runs for 9 s
    Then the sources were called at most 40 times

  Scenario: an unexpected error of one source ends neither the process nor the other sources
    Given a watcher whose registry raises an unexpected error at first
    When the watcher runs for 3 s
    Then the registry and the configuration have been read
    And the unexpected error has been counted

  Scenario: a source that is available again is read within a second
    Given a watcher whose sources refuse its calls
    When the watcher runs for 9 s
    And the sources are available again and the watcher runs for 1.1 s
    Then the registry and the configuration have been read

  Scenario: owners that change all the time are read a few times per second
    Given a watcher whose owners change all the time
    When the watcher runs for 3 s
    Then the owners were read at most 12 times

  Scenario: a host that the coordinator keeps up to date reads nothing but a newer configuration
    Given a watcher that the coordinator keeps up to date except for the configuration
    When the watcher runs for 3 s
    Then only the configuration was read

  Scenario: a cursor of an earlier era of the store leads to a full read, and the log says why
    Given a watcher whose store came back from an older copy after the first read of the owners
    When the watcher runs for 3 s
    Then the owners were read with the cursors "0, 1, 0, 1"
    And the reason "its era is 2" is logged for the full read of the owners
