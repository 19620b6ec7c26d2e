Feature: Observed load
  Hot keys are found among any number of other keys, with bounded memory.

  Scenario: a hot key is not lost among many cold ones
    Given the load average has recorded 5000 keys once and the key "hot" 200 times
    Then the load average ranks "hot" first
    And the load average tracks at most 64 keys

  Scenario: a key that was hot long ago is not reported as hot
    Given the load average has recorded 10 keys once and the key "hot" 200 times
    When the load average records nothing for 120 s
    Then the load average tracks no key
