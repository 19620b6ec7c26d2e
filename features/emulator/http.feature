Feature: Stand-ins over HTTP
  Guards the HTTP protocols of the stand-ins as section 6.2 of docs/design.md describes them.

  Scenario: the platform's rows, transactions, objects and faults
    Then the platform stand-in on loopback answers these requests
      | method | path                | body                                                          | status | response                                                            |
      | GET    | /rows/a/b           |                                                               | 404    |                                                                     |
      | POST   | /transactions       | {"conditions": {"a/b": 0}, "puts": {"a/b": {"x": 1}}}         | 200    | {"revision": 1, "versions": {"a/b": 1}}                             |
      | POST   | /transactions       | {"conditions": {"a/b": 0, "c": 1}, "puts": {"a/b": {"x": 2}}} | 409    | {"failed": [{"key": "a/b", "version": 1, "revision": 1, "value": {"x": 1}}, {"key": "c", "version": 0, "revision": 0, "value": {}}]} |
      | POST   | /transactions       | {"conditions": {}, "puts": {"a/b": {"x": 2}}}                 | 400    | no condition for a/b                                                |
      | POST   | /transactions       | {"conditions": {"a/b": -1}, "puts": {}}                       | 400    | conditions.a/b                                                      |
      | POST   | /transactions       | {"conditions"                                                 | 400    | Invalid JSON                                                        |
      | POST   | /faults             | {"lose_answers": 1}                                           | 200    |                                                                     |
      | POST   | /transactions       | {"conditions": {"a/b": 0}, "puts": {"a/b": {"x": 3}}}         | 409    |                                                                     |
      | POST   | /transactions       | {"conditions": {"a/b": 1}, "puts": {"a/b": {"x": 3}}}         | lost   |                                                                     |
      | GET    | /rows/a/b           |                                                               | 200    | {"key": "a/b", "version": 2, "revision": 2, "value": {"x": 3}}      |
      | GET    | /rows?prefix=a&since=1 |                                                            | 200    | {"revision": 2, "rows": [{"key": "a/b", "version": 2,               |
      | GET    | /rows?prefix=a&since=2 |                                                            | 200    | {"revision": 2, "rows": []}                                         |
      | GET    | /rows?since=x       |                                                               | 400    | 'since' is not a number                                             |
      | PUT    | /objects/o/1        | data                                                          | 200    |                                                                     |
      | GET    | /objects/o/1        |                                                               | 200    | data                                                                |
      | GET    | /objects/o/2        |                                                               | 404    |                                                                     |
      | POST   | /faults             | {"store": "down"}                                             | 200    |                                                                     |
      | GET    | /rows/a/b           |                                                               | 503    |                                                                     |
      | POST   | /transactions       | {"conditions": {"a/b": 2}, "puts": {"a/b": {"x": 4}}}         | 503    |                                                                     |
      | POST   | /faults             | {"store": "up", "hosts_lag_ms": 60000}                        | 200    |                                                                     |
      | GET    | /rows/a/b           |                                                               | 200    | "value": {"x": 3}                                                   |
      | PUT    | /hosts              | [{"id": "h", "data_centre": "d", "address": "a", "state": "live"}] | 200 |                                                                   |
      | GET    | /hosts              |                                                               | 200    | []                                                                  |
      | POST   | /faults             | {"stor": "up"}                                                | 400    | stor: Unexpected                                                    |
      | GET    | /nothing            |                                                               | 404    |                                                                     |

  Scenario: the upstream's checks, responses and faults
    Then the upstream stand-in on loopback answers these requests
      | method | path                          | term | body          | status | response                  |
      | GET    | /k/1?tag=7                    | 1    |               | 200    | "path": "/k/1?tag=7"      |
      | POST   | /k/1                          | 1    | hello         | 200    | "body_sha256": "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824" |
      | POST   | /k/1                          | 2    | hello         | 421    | "outcome": "not-run"      |
      | GET    | /k/1?reply_bytes=200000       | 1    |               | 200    | "padding": "......        |
      | GET    | /k/1?reply_bytes=200000&cut_after=70000 | 1 |        | cut    |                           |
      | GET    | /k/1                          | x    |               | 400    | Acaciasaddle-Term         |
      | GET    | /k/1?work_ms=x                | 1    |               | 400    | 'work_ms' is not a number |
      | DELETE | /requests/r9                  | 1    |               | 404    | absent                    |
      | POST   | /faults                       |      | {"shed": true} | 200   |                           |
      | GET    | /k/1                          | 1    |               | 503    | sheds load                |
      | POST   | /faults                       |      | {"shed": false, "leaving": true, "leave_grace_ms": 0, "lag_ms": 0} | 200 | |
      | GET    | /k/1                          | 1    |               | 503    | is leaving                |
      | GET    | /health                       |      |               | 503    | {"state": "leaving"}      |
      | GET    | /load                         |      |               | 200    | {"busy": 0, "queued": 0, "slots": 2} |
      | GET    | /record                       |      |               | 200    | "state": "completed"      |

  Scenario: an upstream that does not check orders accepts no grants but observes deadlines
    Then the upstream stand-in that does not check orders answers these requests on loopback
      | method | path   | timeout | body | status | response |
      | POST   | /grant |         | {}   | 404    |          |
      | GET    | /k/1   |         |      | 200    |          |
      | GET    | /k/1   | 0       |      | 504    | not-run  |
      | GET    | /k/1   | 5000    |      | 200    |          |

  Scenario: an upload that is cut off does not complete, and at-most-once work does not start
    When uploads with and without an idempotency key to the upstream stand-in are cut off
    Then the upstream stand-in has recorded only a dropped run of the upload without a key

  Scenario: silenced connections get no responses while new ones do, and connections are limited
    Then the upstream stand-in answers on a new connection but not on a silenced one
    And the upstream stand-in with 3 connections answers 503 on the fourth
