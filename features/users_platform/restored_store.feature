Feature: A store that comes back from an older copy
  Such a store gives its versions out again, and its era rises. Guards against rows of one era that
  are taken for those of another, changes that are skipped, and writes on versions given out twice.
  Revisions are written ERA:VERSION.

  Scenario: a change below the old cursor is read after a restore
    Given the store answers in its eras
      | era | status | ver | rows    |
      | 1   | 200    | 30  | a@1=30  |
      | 2   | 200    | 25  |         |
      | 2   | 200    | 25  | a@2=25  |
    Then the calls end as
      | call       | outcome              |
      | scan       | at 1:30 a=1:30       |
      | feed 1:30  | HistoryExpiredError  |
      | feed 1:30  | HistoryExpiredError  |
      | scan       | at 2:25 a=2:25       |
    And the store was called 3 times
    And 1 restore and the ignored answers "" are counted

  Scenario: of two restores in a row, each is noticed, by any step of the era
    Given the store answers in its eras
      | era | status | ver | rows   |
      | 0   | 200    | 30  | a=30   |
      | 1   | 410    | 0   |        |
      | 1   | 200    | 30  | a@1=30 |
      | 4   | 200    | 30  | a@4=30 |
    Then the calls end as
      | call       | outcome             |
      | scan       | at 0:30 a=0:30      |
      | feed 0:30  | HistoryExpiredError |
      | scan       | at 1:30 a=1:30      |
      | scan       | at 4:30 a=4:30      |
      | feed 1:30  | HistoryExpiredError |
    And 2 restores and the ignored answers "" are counted

  Scenario Outline: an answer whose era is <reason> counts as none
    Given the store answers in its eras
      | era   | status | ver | rows   |
      | 3     | 200    | 30  | a@3=30 |
      | <era> | 200    | 31  | a@3=31 |
      | <era> | 200    | 31  |        |
      | 3     | 200    | 32  | a@3=32 |
    Then the calls end as
      | call           | outcome                  |
      | scan           | at 3:30 a=3:30           |
      | feed 3:30      | PlatformUnavailableError |
      | write a if 3:30 | WriteOutcomeUnknownError |
      | scan           | at 3:32 a=3:32           |
    And 0 restores and the ignored answers "<reason> <reason>" are counted
    And no connection was used after an answer that was ignored, of 3

    Examples:
      | era          | reason  |
      | -            | missing |
      | 2            | older   |
      | x            | invalid |
      | -4           | invalid |
      | 4.0          | invalid |
      | 1048577      | invalid |
      | 999999999999 | invalid |

  Scenario: a write on a version that was given out twice is not sent
    Given the store answers in its eras
      | era | status | ver | rows   |
      | 1   | 200    | 30  | a@1=19 |
      | 2   | 200    | 19  | a@2=19 |
    Then the calls end as
      | call            | outcome            |
      | scan            | at 1:30 a=1:19     |
      | scan            | at 2:19 a=2:19     |
      | write a if 1:19 | StoreRestoredError |
    And the store was called 2 times

  Scenario Outline: a write during which the store was restored does not count, answer <status>
    Given the store answers in its eras
      | era | status   | ver | rows   |
      | 1   | 200      | 30  | a@1=30 |
      | 2   | <status> | 20  |        |
    Then the calls end as
      | call            | outcome            |
      | scan            | at 1:30 a=1:30     |
      | write a if 1:30 | StoreRestoredError |

    Examples:
      | status |
      | 200    |
      | 412    |
      | 503    |

  Scenario: a first write without any answer before it does not count in an era above 0
    Given the store answers in its eras
      | era | status | ver | rows |
      | 3   | 200    | 20  |      |
      | 3   | 200    | 21  |      |
    Then the calls end as
      | call           | outcome            |
      | write a if 0:0 | StoreRestoredError |
      | write a if 0:0 | a=3:21             |

  Scenario: rows of earlier eras are left alone, told of, and removed on request
    Given the store answers in its eras
      | era | status | ver | rows                       |
      | 2   | 200    | 30  | a=7 a@1=9 a@2=20 b@12=8    |
      | 2   | 200    | 31  |                            |
      | 2   | 200    | 31  | a=7 a@1=9 a@2=31 b@12=8    |
      | 2   | 200    | 32  |                            |
    Then the calls end as
      | call            | outcome                    |
      | scan            | at 2:30 a=2:20 earlier 2:9 |
      | write a if 2:20 | a=2:31                     |
      | drop            | 3                          |
    And the write 2 expects "a@2=20" and puts "a@2"
    And the write 4 removes "a a@1 b@12"

  Scenario: a table whose pages are of two eras is not read
    Given the store answers in its eras
      | era | status | ver | rows   | truncated |
      | 1   | 200    | 30  | a@1=30 | yes       |
      | 2   | 200    | 30  | b@2=30 |           |
    Then the calls end as
      | call | outcome                  |
      | scan | PlatformUnavailableError |

  Scenario Outline: the version <ver> would reach into the era, so it is refused
    Given the store answers in its eras
      | era | status | ver   | rows |
      | 1   | 200    | <ver> |      |
    Then the calls end as
      | call           | outcome                  |
      | scan           | PlatformUnavailableError |
      | write a if 0:0 | WriteOutcomeUnknownError |

    Examples:
      | ver           |
      | -1            |
      | 1099511627776 |

  Scenario: entries that may be from the copy are named until they are written again
    Given the store answers in its eras
      | era | status | ver | rows        |
      | 1   | 200    | 30  | u1=28 u2=30 |
      | 2   | 200    | 25  | u1=20 u2=25 |
      | 2   | 200    | 26  | u1=26       |
      | 2   | 200    | 26  | u1=26 u2=25 |
      | 3   | 200    | 24  | u1=20 u2=24 |
    Then the calls end as
      | call          | outcome                 |
      | entries       | u1 u2 restored          |
      | entries       | u1 u2 restored u1 u2    |
      | entries 2:25  | u1 restored             |
      | entries       | u1 u2 restored u2       |
      | entries       | u1 u2 restored u1 u2    |
    And the targets of the calls are
      | target                                                   |
      | /acaciasaddle/rows-get?table=servers&part=&limit=500     |
      | /acaciasaddle/rows-get?table=servers&part=&limit=500     |
      | /acaciasaddle/rows-feed?table=servers&after=25&waitMs=0  |
      | /acaciasaddle/rows-get?table=servers&part=&limit=500     |
      | /acaciasaddle/rows-get?table=servers&part=&limit=500     |

  Scenario: without the header, calls and rows are those of a store without eras
    Given the store answers in its eras
      | era | status | ver | rows       |
      | -   | 200    | 30  | a=19 b@1=9 |
      | -   | 200    | 31  |            |
      | -   | 200    | 31  |            |
    Then the calls end as
      | call            | outcome                  |
      | scan            | at 0:30 a=0:19 b@1=0:9   |
      | write a if 0:19 | a=0:31                   |
      | feed 0:31       | at 0:31                  |
    And the targets of the calls are
      | target                                                   |
      | /acaciasaddle/rows-get?table=t&part=&limit=500           |
      | /acaciasaddle/rows-tx                                    |
      | /acaciasaddle/rows-feed?table=t&after=31&waitMs=50       |
    And the body of the write 2 is '{"expect": [{"table": "t", "part": "", "key": "a", "ver": 19}], "put": [{"table": "t", "part": "", "key": "a", "value": "VALUE"}], "remove": []}'
