Feature: Admission control
  Guards against requests that wait at an overloaded upstream until their deadline has passed, and
  against bulky requests that displace urgent ones.

  Scenario Outline: a request is admitted if a slot is free or it can be served before its deadline
    Given an owner with 2 slots, a slot time of 200 ms and <busy> requests
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

  Scenario: a refusal says when room is expected
    Given an owner with 2 slots, a slot time of 200 ms and 9 requests
    When a request with 600 ms left arrives
    Then its caller is told to retry after 400 ms

  Scenario: a slow owner admits fewer requests
    Given an owner with 2 slots, a slot time of 500 ms and 2 requests
    When a request with 600 ms left arrives
    Then it is refused

  Scenario: at three times an owner's capacity, admission control serves more requests in time
    Given an owner with 2 slots, a slot time of 200 ms, a queue of 20 and arrivals at 3 times its capacity
    When the load lasts 20 s and the known counts are 0.4 s old
    Then with admission control more requests are served before their deadline than without
    And the owner's slots are busy for at least 0.95 of the time

  Scenario: without overload no request is refused
    Given an owner with 2 slots, a slot time of 200 ms, a queue of 20 and arrivals at 0.5 times its capacity
    When the load lasts 20 s and the known counts are 0.4 s old
    Then at most 0 of the requests are refused

  Scenario: bulky requests yield to urgent ones when they overload a shared service
    Given a service of 16 upstreams with 2 slots and 250 ms of work, 128 requests/s in all
    When 45 urgent and 110 bulky requests/s arrive for 10 s
    Then urgent requests are served in time at least as often as bulky ones
    And more urgent requests are served in time than if bulky ones did not yield
    And the slots of the service are busy for at least 90% of the time

  Scenario: bulky requests that have a service to themselves are not held back
    Given a service of 16 upstreams with 2 slots and 250 ms of work, 128 requests/s in all
    When 0 urgent and 90 bulky requests/s arrive for 10 s
    Then at least 99% of the bulky requests are served in time
