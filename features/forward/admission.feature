Feature: Admission to the owner of a key
  Pattern: a flood at one owner, which no other upstream can help.

  Scenario Outline: who is admitted
    Given an owner with 2 slots, 200 ms in a slot and <busy> requests
    When a request with <left> ms left arrives
    Then it is <result>

    Examples:
      | busy | left | result   |
      | 0    | 10   | admitted |
      | 2    | 1500 | admitted |
      | 9    | 1500 | admitted |
      | 9    | 900  | refused  |
      | 4    | 600  | admitted |
      | 6    | 600  | refused  |

  Scenario: a refusal tells when there is expected to be room
    Given an owner with 2 slots, 200 ms in a slot and 9 requests
    When a request with 600 ms left arrives
    Then it is told to come back after 400 ms

  Scenario: a slow owner admits fewer requests
    Given an owner with 2 slots, 500 ms in a slot and 2 requests
    When a request with 600 ms left arrives
    Then it is refused

  Scenario: under three times the load that an owner can serve, no work is started in vain
    Given an owner with 2 slots, 200 ms in a slot, a queue of 20 and arrivals at 3 times its rate
    When the flood lasts 20 s with counts that are 0.4 s old
    Then with admission more requests are served before their deadline than without
    And the owner's slots are busy for at least 0.95 of the time

  Scenario: without a flood nobody is refused
    Given an owner with 2 slots, 200 ms in a slot, a queue of 20 and arrivals at 0.5 times its rate
    When the flood lasts 20 s with counts that are 0.4 s old
    Then at most 0 of the requests are refused
