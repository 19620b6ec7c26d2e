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

  Scenario: bulky work floods a service that urgent work shares
    Given a service of 16 upstreams with 2 slots and 250 ms of work, 128 requests/s in all
    When 45 urgent and 110 bulky requests/s arrive for 10 s
    Then urgent requests are served in time at least as often as bulky ones
    And more urgent requests are served than if bulky work did not yield
    And the slots of the service are busy for at least 90% of the time

  Scenario: bulky work that has a service for itself is not held back
    Given a service of 16 upstreams with 2 slots and 250 ms of work, 128 requests/s in all
    When 0 urgent and 90 bulky requests/s arrive for 10 s
    Then at least 99% of the bulky requests are served in time
