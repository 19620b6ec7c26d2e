Feature: Observed load
  Hot keys are found among any number of others with bounded memory.

  Scenario: a hot key is found among many cold ones
    Given the load average has seen 5000 keys once and the key "hot" 200 times
    Then the load average names "hot" first
    And the load average tracks at most 64 keys

  Scenario: a key that was hot long ago is forgotten
    Given the load average has seen 10 keys once and the key "hot" 200 times
    When the load average hears nothing for 120 s
    Then the load average names nothing
