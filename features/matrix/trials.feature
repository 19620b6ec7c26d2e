Feature: Promises in selected trials of the fault matrix
  Hosts, upstreams and the table run on a mock clock, without a fault or with one injected at a
  step. "python -m features.support.matrix" runs the whole matrix.

  Scenario Outline: no promise is violated without faults
    When the matrix scenario "<scenario>" runs with seed 1
    Then the matrix checker reports nothing

    Examples:
      | scenario                 |
      | once                     |
      | lookups                  |
      | callers gone             |
      | drain and moves          |
      | drain during an upload   |
      | graceful stop            |
      | two data centres         |

  Scenario Outline: no promise is violated when a fault is injected
    When the matrix scenario "<scenario>" runs with seed 1 and "<fault>" at occurrence <number> of "<step>"
    Then the matrix fault was injected
    And the matrix checker reports nothing

    Examples:
      | scenario         | fault                            | step                           | number |
      | once             | host killed                      | host receives answer to work   | 2      |
      | once             | host paused 1 s                  | host sends work                | 2      |
      | once             | host replaced by an empty one    | host receives call KeepRecords | 0      |
      | once             | host killed, store down          | host sends grant               | 3      |
      | callers gone     | host paused 4 s                  | upstream receives cancel       | 0      |
      | lookups          | upstream frozen 3 s              | upstream receives grant        | 0      |
      | lookups          | connections silent for good      | upstream receives work         | 1      |
      | uploads          | upstream killed and restarted    | host receives WorkData         | 4      |
      | drain and moves  | store answer lost                | host before write of units     | 0      |
      | two operators    | store slow                       | host before write of config    | 0      |
      | graceful stop    | store down                       | host receives call Handover    | 0      |
      | two data centres | data centre cut from both        | host sends OpenWork            | 2      |

  Scenario: a successor that was paused while it was replaced does not take over with old records
    When the matrix scenario "callers gone" runs with seed 3 and "host paused 4 s" at occurrence 0 of "upstream receives cancel"
    Then the matrix fault was injected
    And the matrix checker reports nothing
