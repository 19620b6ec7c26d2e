Feature: Forwarding to upstreams
  Guards against responses that are cut off or belong to another request, against a second run of a
  request that may run only once, and against a request that may have run being reported as not run.
  Any upstream may run a request to the "open" service; in the "keyed" service only the owner of the
  key may.

  Scenario Outline: a lookup is sent again after a failure, and answered completely
    Given upstream "u1" of the open service answers "<first>"
    And upstream "u2" of the open service answers "<second>"
    When a lookup is forwarded
    Then the caller gets <status> "<body>"
    And upstreams got <arrivals> requests

    Examples:
      | first       | second | status | body | arrivals |
      | ok          | ok     | 200    | done | 1        |
      | unframed    | ok     | 200    | done | 1        |
      | full        | ok     | 200    | done | 2        |
      | fails       | ok     | 200    | done | 2        |
      | reset       | ok     | 200    | done | 2        |
      | close       | ok     | 200    | done | 2        |
      | truncated   | ok     | 200    | done | 2        |
      | chunked cut | ok     | 200    | done | 2        |
      | unframed reset | ok  | 200    | done | 2        |
      | unsigned    | ok     | 200    | done | 2        |
      | signature hidden | ok | 200   | done | 2        |
      | garbage     | ok     | 200    | done | 2        |
      | two lengths | ok     | 200    | done | 2        |
      | stale first | ok     | 200    | done | 1        |
      | replaced    | ok     | 200    | done | 2        |

  Scenario Outline: a booking, which may run only once, is not sent again if it may have run
    Given upstream "u1" of the open service answers "<first>"
    And upstream "u2" of the open service answers "ok"
    When a booking is forwarded
    Then the caller gets <status> "<body>"
    And upstreams got <arrivals> requests

    Examples:
      | first     | status | body | arrivals |
      | ok        | 200    | done | 1        |
      | full      | 200    | done | 2        |
      | fails     | 500    |      | 1        |
      | reset     | 502    |      | 1        |
      | close     | 502    |      | 1        |
      | truncated | 502    |      | 1        |
      | chunked cut | 502  |      | 1        |
      | unframed reset | 502 |    | 1        |
      | unsigned  | 502    |      | 1        |
      | signature hidden | 502 |  | 1        |
      | garbage   | 502    |      | 1        |
      | bare 503  | 502    |      | 1        |
      | bare 429  | 502    |      | 1        |

  Scenario: an attempt to reach an unreachable upstream does not use the repeat budget
    Given an unreachable upstream "u1" of the open service
    And upstream "u2" of the open service answers "ok"
    And the repeat budget is spent
    When a booking is forwarded
    Then the caller gets 200 "done"

  Scenario: without budget a request that a full upstream rejected is refused
    Given upstream "u1" of the open service answers "full"
    And upstream "u2" of the open service answers "ok"
    And the repeat budget is spent
    When a booking is forwarded
    Then the caller gets 503 ""
    And the caller is told when to retry
    And upstreams got 1 requests

  Scenario: a lookup that may have run is not reported as not run
    Given upstream "u1" of the open service answers "reset"
    And an unreachable upstream "u2" of the open service
    When a lookup with 20 s left is forwarded
    Then the caller gets 502 ""

  Scenario: a request is sent to no more upstreams than the route allows
    Given upstream "u1" of the open service answers "full"
    And upstream "u2" of the open service answers "full"
    And upstream "u3" of the open service answers "full"
    When a booking is forwarded
    Then the caller gets 503 ""
    And upstreams got 2 requests

  Scenario: a request ends with the timeout of its route
    Given upstream "u1" of the open service answers "silent"
    When a booking is forwarded
    Then the caller gets 504 ""
    And the caller waited between 0.4 and 0.9 s

  Scenario: a surplus response on a connection is not given to the next request
    Given upstream "u1" of the open service answers "surplus after, ok"
    When two lookups are forwarded one after the other
    Then the caller gets 200 "done"
    And upstream "u1" saw 2 connections

  Scenario: a forwarded request names its upstream and the time left
    Given upstream "u1" of the open service answers "ok"
    When a lookup is forwarded
    Then the upstream got the header "target-instance: u1"
    And the upstream got a deadline of 1 to 400 ms
    And the upstream got no "connection" header

  Scenario: a request for a key is only sent to the owner of the key
    Given upstream "u1" of the keyed service answers "full"
    And upstream "u2" of the keyed service answers "ok"
    And "u1" owns all keys
    When a lookup with key 77 is forwarded
    Then the caller gets 503 ""
    And upstream "u2" saw 0 connections

  Scenario: a request is sent again to an owner that rejects it although it has free slots
    Given upstream "u1" of the keyed service answers "full, full, ok"
    And "u1" owns all keys
    When a lookup with key 77 is forwarded
    Then the caller gets 200 "done"

  Scenario: a late copy of a rejection is not taken for the answer to the next send
    Given upstream "u1" of the keyed service answers "full copied, ok"
    And "u1" owns all keys
    When a booking with key 77 is forwarded
    Then the caller gets 200 "done"
    And upstreams got 2 requests
    And upstream "u1" saw 2 connections

  Scenario: a late copy of a failure is not taken for the answer to the next send
    Given upstream "u1" of the keyed service answers "fails copied, ok"
    And "u1" owns all keys
    When a lookup with key 77 is forwarded
    Then the caller gets 200 "done"
    And upstreams got 2 requests

  Scenario: an owner that asked to wait gets no request before, and its caller is told how long
    Given upstream "u1" of the keyed service answers "full for 5 s, ok"
    And "u1" owns all keys
    When two lookups are forwarded one after the other
    Then the caller gets 503 ""
    And the caller is told to retry in 4.5 to 6.5 s
    And upstreams got 1 requests
    And the counter "forward.blocked.asked_to_wait" is 2

  Scenario: a request is held while its owner asked for a pause that its deadline allows
    Given upstream "u1" of the keyed service answers "full for 0.1 s, ok"
    And "u1" owns all keys
    When a booking with key 77 is forwarded
    Then the caller gets 200 "done"
    And the caller waited between 0.1 and 0.4 s
    And upstreams got 2 requests

  Scenario Outline: an upstream that asked to wait gets no request while others take the work
    Given upstream "u1" of the open service answers "<answer>, ok"
    And upstream "u2" of the open service answers "ok"
    When two lookups are forwarded one after the other
    Then the caller gets 200 "done"
    And upstream "u1" got 1 requests

    Examples:
      | answer           |
      | full for 5 s     |
      | bare 503 for 5 s |

  Scenario: no upstream is sent to if all of a service asked to wait
    Given upstream "u1" of the open service answers "full for 5 s, ok"
    And upstream "u2" of the open service answers "full for 5 s, ok"
    When two lookups are forwarded one after the other
    Then the caller gets 503 ""
    And the caller is told to retry in 4.5 to 6.5 s
    And the caller waited between 0 and 0.05 s
    And upstreams got 2 requests

  Scenario: an upstream that says in an answer that it leaves gets no further request
    Given upstream "u1" of the open service answers "leaving, ok"
    And upstream "u2" of the open service answers "ok"
    When two lookups are forwarded one after the other
    Then the caller gets 200 "done"
    And upstream "u1" got 1 requests
    And upstream "u2" got 1 requests

  Scenario: requests are refused at once when all upstreams of the service leave
    Given upstream "u1" of the open service answers "leaving, ok"
    When two lookups are forwarded one after the other
    Then the caller gets 503 ""
    And the caller is told when to retry
    And the caller waited between 0 and 0.05 s

  Scenario: keys of an owner that just said that it leaves are served there until they move
    Given upstream "u1" of the keyed service answers "leaving, leaving"
    And "u1" owns all keys
    When two lookups are forwarded one after the other
    Then the caller gets 200 "done"

  Scenario: what another upstream at the address says of itself does not concern the owner
    Given upstream "u1" of the open service answers "other one leaving, ok"
    And upstream "u2" of the open service answers "ok"
    When two lookups are forwarded one after the other
    Then the caller gets 200 "done"
    And no upstream is known to leave

  Scenario: a request is not sent again to an owner without free slots
    Given upstream "u1" of the keyed service answers "full, ok"
    And "u1" owns all keys
    And "u1" has 2 requests of other hosts
    When a lookup with key 77 is forwarded
    Then the caller gets 503 ""

  Scenario: without budget a request is not sent again to its owner
    Given upstream "u1" of the keyed service answers "full, ok"
    And "u1" owns all keys
    And the repeat budget is spent
    When a lookup with key 77 is forwarded
    Then the caller gets 503 ""

  Scenario: a stopping host refuses at once what its stop might break off
    Given upstream "u1" of the open service answers "ok"
    And the host breaks off requests in 0.3 s
    When a booking is forwarded
    Then the caller gets 503 ""
    And the caller is told when to retry
    And the log and the counters show "this host stops" once
    And upstreams got 0 requests

  # Guards against requests that are cut off without an answer while no upstream works on them.
  Scenario Outline: a stopping host does not let a request wait beyond the end of its stop
    Given upstream "u1" of the keyed service answers "<answers>"
    And <owner>
    And the host breaks off requests in 0.25 s
    When a lookup with key 77 is forwarded
    Then the caller gets 503 ""
    And the caller is told when to retry
    And the caller waited between 0 and 0.25 s
    And the log and the counters show "this host stops" once

    Examples:
      | answers            | owner                           |
      | ok                 | all keys move to "u1" for 0.3 s |
      | full for 0.3 s, ok | "u1" owns all keys              |

  Scenario: a stopping host serves a request that is given up before the stop ends
    Given upstream "u1" of the open service answers "ok"
    And the host breaks off requests in 0.6 s
    When a booking is forwarded
    Then the caller gets 200 "done"

  Scenario: a request waits while its key moves
    Given upstream "u1" of the keyed service answers "ok"
    And all keys move to "u1" for 0.1 s
    When a lookup with key 77 is forwarded
    Then the caller gets 200 "done"

  Scenario: a request is sent once its key was granted, although the owners still show it as moving
    Given upstream "u1" of the keyed service answers "ok"
    And all keys move to "u1", and are known to be granted after 0.1 s
    When a lookup with key 77 is forwarded
    Then the caller gets 200 "done"
    And the caller waited between 0.05 and 0.3 s

  Scenario: a busy owner that resets connections is not taken for silent
    Given upstream "u1" of the keyed service answers "reset, reset, reset, reset, ok"
    And "u1" owns all keys
    And "u1" has 2 requests of other hosts
    When two lookups are forwarded one after the other
    Then the caller gets 200 "done"

  Scenario: an unreachable owner is silent, however many requests other hosts have there
    Given an unreachable upstream "u1" of the keyed service
    And "u1" owns all keys
    And "u1" has 2 requests of other hosts
    When two lookups are forwarded one after the other
    Then the caller gets 503 ""
    And the caller waited between 0 and 0.3 s

  Scenario: a request for a key that has been moving for a long time is refused at once
    Given upstream "u1" of the keyed service answers "ok"
    And all keys have been moving to "u1" for a long time
    When a lookup with key 77 is forwarded
    Then the caller gets 503 ""
    And the caller waited between 0 and 0.3 s
    And upstreams got 0 requests

  Scenario: an owner whose address another upstream has taken is tried once
    Given upstream "u1" of the keyed service answers "replaced"
    And "u1" owns all keys
    When a lookup with key 77 is forwarded
    Then the caller gets 503 ""
    And upstreams got 1 requests

  Scenario: a request for a silent owner is refused at once
    Given an unreachable upstream "u1" of the keyed service
    And "u1" owns all keys
    When two lookups are forwarded one after the other
    Then the caller gets 503 ""
    And the caller waited between 0 and 0.3 s

  Scenario: without a configuration a request is refused and its caller told when to retry
    Given no configuration
    When a lookup is forwarded
    Then the caller gets 503 ""
    And the caller is told when to retry

  Scenario: a request whose path matches no route gets status 404
    Given upstream "u1" of the open service answers "ok"
    When a request for an unknown path is forwarded
    Then the caller gets 404 ""

  Scenario Outline: each refusal or failure is logged and counted once with its reason: <reason>
    Given <upstream>
    And <state>
    When <request>
    Then the log and the counters show "<reason>" once

    Examples:
      | upstream                                              | state                                | request                                    | reason                        |
      | no configuration                                      | the repeat budget is spent           | a lookup is forwarded                      | no configuration is known yet |
      | upstream "u1" of the open service answers "ok"        | the repeat budget is spent           | a request for an unknown path is forwarded | no route matches              |
      | upstream "u1" of the keyed service answers "ok"       | the repeat budget is spent           | a lookup with key 77 is forwarded          | the key has no owner now      |
      | upstream "u1" of the keyed service answers "ok"       | all keys move to "u1" for 0.9 s      | a lookup with key 77 is forwarded          | the key is still moving       |
      | upstream "u1" of the keyed service answers "replaced" | "u1" owns all keys                   | a lookup with key 77 is forwarded          | the owner has ended           |
      | upstream "u1" of the open service answers "full"      | the repeat budget is spent           | a lookup is forwarded                      | the upstream is full          |
      | upstream "u1" of the open service answers "ok"        | "u1" has 999 requests of other hosts | a lookup is forwarded                      | the upstream is too busy      |
      | upstream "u1" of the open service answers "reset"     | the repeat budget is spent           | a booking is forwarded                     | the upstream did not answer   |
      | upstream "u1" of the open service answers "silent"    | the repeat budget is spent           | a booking is forwarded                     | no response in time           |
      | an unreachable upstream "u1" of the keyed service     | "u1" owns all keys                   | a lookup with key 77 is forwarded          | the owner is silent           |

  Scenario: a request is not sent again and again to an owner that says it does not own the key
    Given upstream "u1" of the keyed service answers "moved"
    And "u1" owns all keys
    And other changes of the view arrive all the time
    When a lookup with key 77 is forwarded
    Then the caller gets 503 ""
    And upstreams got 4 requests

  Scenario: an upstream that registers at a new address is used again
    Given upstream "u1" of the open service answers "replaced, ok"
    And "u1" registers anew after each request
    When two lookups are forwarded one after the other
    Then the caller gets 200 "done"

  Scenario Outline: bytes without end take no more than their share of memory
    Given upstream "u1" of the open service answers "<answer>"
    When a booking with 20 s left is forwarded
    Then the caller gets <status> ""
    And upstream "u1" saw its connection closed
    And the process held at most 40 MB more

    Examples:
      | answer             | status |
      | endless head       | 502    |
      | endless interim    | 502    |
      | endless chunks     | 502    |
      | endless unframed   | 502    |
      | endless others     | 502    |

  Scenario: a request that is cut off because its caller's connection ends is logged with its id
    Given upstream "u1" of the open service answers "silent"
    When a booking is forwarded and its caller leaves after 0.1 s
    Then the log shows that the request was cut off after 1 send

  Scenario Outline: the memory of a response that is not passed on is free again: <answer>
    Given upstream "u1" of the open service answers "<answer>"
    When a booking with 20 s left is forwarded without garbage collection
    Then the caller gets <status> ""
    And no memory of bodies is held

    Examples:
      | answer          | status |
      | unsigned large  | 502    |
      | promising large | 502    |
      | full large      | 503    |

  Scenario: a request that is sent again does not keep the memory of its first response
    Given upstream "u1" of the open service answers "fails large"
    And upstream "u2" of the open service answers "ok large"
    And other responses hold 87 MB of the memory of a host with 200 MB
    When a lookup with 2 s left is forwarded
    Then upstream "u1" got 1 requests
    And the caller gets 200 with the large body

  Scenario: a response to another request does not keep its memory while the next one is received
    Given upstream "u1" of the open service answers "other large first"
    And other responses hold 87 MB of the memory of a host with 200 MB
    When a lookup with 2 s left is forwarded
    Then the caller gets 200 with the large body
