Feature: Admission to the owner of a key
  Pattern: a flood at one owner, which no other upstream can help.

  Scenario Outline: who is admitted
    Given an owner with 2 slots, 200 ms in a slot and <busy> requests
    When a request of age <age> ms with an objective of 600 ms and 1400 ms left arrives
    Then it is <result>

    Examples:
      | busy | age | result   |
      | 0    | 0   | admitted |
      | 2    | 0   | admitted |
      | 4    | 0   | admitted |
      | 6    | 0   | refused  |
      | 9    | 0   | refused  |
      | 2    | 350 | refused  |
      | 1    | 590 | admitted |

  Scenario: a refusal tells when there is expected to be room
    Given an owner with 2 slots, 200 ms in a slot and 9 requests
    When a request of age 0 ms with an objective of 600 ms and 1400 ms left arrives
    Then it is told to come back after 400 ms

  Scenario: a slow owner admits fewer requests
    Given an owner with 2 slots, 500 ms in a slot and 2 requests
    When a request of age 0 ms with an objective of 600 ms and 1400 ms left arrives
    Then it is refused

  Scenario: under twice the load that an owner can serve, most of its work is in time
    Given an owner with 2 slots, 200 ms in a slot, a queue of 8 and arrivals at twice its rate
    When the flood lasts 20 s with counts that are 0.4 s old
    Then with admission at least three times as many requests are served in time as without
    And the owner's slots are busy for at least 0.85 of the time

  Scenario: without a flood nobody is refused
    Given an owner with 2 slots, 200 ms in a slot, a queue of 8 and arrivals at half its rate
    When the flood lasts 20 s with counts that are 0.4 s old
    Then at most 0.03 of the requests are refused
