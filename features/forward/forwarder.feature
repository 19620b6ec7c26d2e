Feature: Forwarding to upstreams
  A caller gets the whole answer to its own request, work that may run once is sent once, and what
  is refused has not run.

  Scenario Outline: what becomes of a lookup
    Given upstream "u1" of the open service answers "<one>"
    And upstream "u2" of the open service answers "<two>"
    When a lookup is forwarded
    Then the caller gets <status> "<body>"
    And upstreams got <arrivals> requests

    Examples:
      | one        | two | status | body | arrivals |
      | ok         | ok  | 200    | done | 1        |
      | unframed   | ok  | 200    | done | 1        |
      | full       | ok  | 200    | done | 2        |
      | fails      | ok  | 200    | done | 2        |
      | reset      | ok  | 200    | done | 2        |
      | close      | ok  | 200    | done | 2        |
      | truncated  | ok  | 200    | done | 2        |
      | unsigned   | ok  | 200    | done | 2        |
      | garbage    | ok  | 200    | done | 2        |
      | two lengths | ok | 200    | done | 2        |
      | late extra | ok  | 200    | done | 1        |
      | replaced   | ok  | 200    | done | 2        |

  Scenario Outline: work that may run once is not sent again once it may have run
    Given upstream "u1" of the open service answers "<one>"
    And upstream "u2" of the open service answers "ok"
    When a booking is forwarded
    Then the caller gets <status> "<body>"
    And upstreams got <arrivals> requests

    Examples:
      | one       | status | body | arrivals |
      | ok        | 200    | done | 1        |
      | full      | 200    | done | 2        |
      | fails     | 500    |      | 1        |
      | reset     | 502    |      | 1        |
      | close     | 502    |      | 1        |
      | truncated | 502    |      | 1        |
      | unsigned  | 502    |      | 1        |
      | garbage   | 502    |      | 1        |

  Scenario: an upstream that cannot be reached costs no repeat
    Given an unreachable upstream "u1" of the open service
    And upstream "u2" of the open service answers "ok"
    And the budget of repeats is spent
    When a booking is forwarded
    Then the caller gets 200 "done"

  Scenario: a full upstream is not passed by without budget, and the refusal is true
    Given upstream "u1" of the open service answers "full"
    And upstream "u2" of the open service answers "ok"
    And the budget of repeats is spent
    When a booking is forwarded
    Then the caller gets 503 ""
    And the caller is told when to come back
    And upstreams got 1 requests

  Scenario: a lookup that may have run is not said to be not run
    Given upstream "u1" of the open service answers "reset"
    And an unreachable upstream "u2" of the open service
    When a lookup is forwarded
    Then the caller gets 502 ""

  Scenario: no more upstreams than the route allows
    Given upstream "u1" of the open service answers "full"
    And upstream "u2" of the open service answers "full"
    And upstream "u3" of the open service answers "full"
    When a booking is forwarded
    Then the caller gets 503 ""
    And upstreams got 2 requests

  Scenario: the end of a route's time ends the work at the upstream
    Given upstream "u1" of the open service answers "silent"
    When a booking is forwarded
    Then the caller gets 504 ""
    And the caller waited between 0.4 and 0.9 s

  Scenario: an answer behind the last one is given to nobody
    Given upstream "u1" of the open service answers "extra behind, ok"
    When two lookups are forwarded one after the other
    Then the caller gets 200 "done"
    And upstream "u1" saw 2 connections

  Scenario: a request says who may run it and how long
    Given upstream "u1" of the open service answers "ok"
    When a lookup is forwarded
    Then the upstream was told "target-instance: u1"
    And the upstream was told of 1 to 400 ms
    And the upstream got no "connection" header

  Scenario: a key goes to its owner only
    Given upstream "u1" of the keyed service answers "full"
    And upstream "u2" of the keyed service answers "ok"
    And "u1" owns all keys
    When a lookup with key 77 is forwarded
    Then the caller gets 503 ""
    And upstream "u2" saw 0 connections

  Scenario: an owner that turns a request away though it has room is asked again
    Given upstream "u1" of the keyed service answers "full, full, ok"
    And "u1" owns all keys
    When a lookup with key 77 is forwarded
    Then the caller gets 200 "done"

  Scenario: an owner without room is not asked again
    Given upstream "u1" of the keyed service answers "full, ok"
    And "u1" owns all keys
    And "u1" has 2 requests of other hosts
    When a lookup with key 77 is forwarded
    Then the caller gets 503 ""

  Scenario: an owner is not asked again without budget
    Given upstream "u1" of the keyed service answers "full, ok"
    And "u1" owns all keys
    And the budget of repeats is spent
    When a lookup with key 77 is forwarded
    Then the caller gets 503 ""

  Scenario: a request waits for a key that moves
    Given upstream "u1" of the keyed service answers "ok"
    And all keys move to "u1" for 0.1 s
    When a lookup with key 77 is forwarded
    Then the caller gets 200 "done"

  Scenario: a key whose move takes long is refused at once
    Given upstream "u1" of the keyed service answers "ok"
    And all keys move to "u1" since long
    When a lookup with key 77 is forwarded
    Then the caller gets 503 ""
    And the caller waited between 0 and 0.3 s
    And upstreams got 0 requests

  Scenario: an owner whose address went to another upstream is tried once
    Given upstream "u1" of the keyed service answers "replaced"
    And "u1" owns all keys
    When a lookup with key 77 is forwarded
    Then the caller gets 503 ""
    And upstreams got 1 requests

  Scenario: a silent owner is not tried again and again
    Given an unreachable upstream "u1" of the keyed service
    And "u1" owns all keys
    When two lookups are forwarded one after the other
    Then the caller gets 503 ""
    And the caller waited between 0 and 0.3 s

  Scenario: without a configuration nothing is served, and nothing is denied
    Given no configuration
    When a lookup is forwarded
    Then the caller gets 503 ""
    And the caller is told when to come back

  Scenario: a path that no route allows
    Given upstream "u1" of the open service answers "ok"
    When a request for an unknown path is forwarded
    Then the caller gets 404 ""

  Scenario Outline: each refusal or failure has one line with its reason, and a counter: <reason>
    Given <upstream>
    And <state>
    When <request>
    Then the log and the counters say "<reason>" once

    Examples:
      | upstream                                            | state                          | request                            | reason                           |
      | no configuration                                    | the budget of repeats is spent | a lookup is forwarded              | no configuration is known yet    |
      | upstream "u1" of the open service answers "ok"      | the budget of repeats is spent | a request for an unknown path is forwarded | no route matches         |
      | upstream "u1" of the keyed service answers "ok"     | the budget of repeats is spent | a lookup with key 77 is forwarded  | the key has no owner now         |
      | upstream "u1" of the keyed service answers "ok"     | all keys move to "u1" for 0.9 s | a lookup with key 77 is forwarded  | the key is still moving          |
      | upstream "u1" of the keyed service answers "replaced" | "u1" owns all keys           | a lookup with key 77 is forwarded  | the owner has ended              |
      | upstream "u1" of the open service answers "full"    | the budget of repeats is spent | a lookup is forwarded              | the upstream is full             |
      | upstream "u1" of the open service answers "ok"      | "u1" has 999 requests of other hosts | a lookup is forwarded        | the upstream is too busy         |
      | upstream "u1" of the open service answers "reset"   | the budget of repeats is spent | a booking is forwarded             | the upstream did not answer      |
      | upstream "u1" of the open service answers "silent"  | the budget of repeats is spent | a booking is forwarded             | no response in time              |
      | an unreachable upstream "u1" of the keyed service   | "u1" owns all keys             | a lookup with key 77 is forwarded | the owner is silent |
