Feature: Dispatch while units move
  A unit's requests wait during its move, and none runs at a server that has lost the unit.

  Scenario Outline: dispatch of requests that wait while their unit is held
    When a dispatch unit is held, 3 requests arrive and it is "<end>" after 200 ms
    Then the dispatch results are all "<result>" after <sends> sends
    And no dispatch request was sent in the first 200 ms

    Examples:
      | end      | result       | sends |
      | resumed  | 200 complete | 3     |
      | rejected | not owner    | 0     |
      | lost     | not owner    | 0     |
      | given up | not owner    | 0     |
      | kept     | 504 not-run  | 0     |

  Scenario: dispatch holds requests that are queued already
    Given a dispatch upstream that answers after 100 ms in two parts 0 ms apart
    When a dispatch unit is held while 2 requests run and 3 are queued
    Then the dispatch unit was drained after 50 ms and 3 requests were still queued

  Scenario: dispatch counts bulky requests of a unit
    When a dispatch unit has an upload and a lookup in progress
    Then dispatch reports 1 bulky request running

  Scenario: dispatch asks for permission again after a wait
    Given a dispatch upstream that answers after 100 ms in two parts 0 ms apart
    When the dispatch authority withdraws the unit while 2 requests run and 3 are queued
    Then the dispatch results are 2 times "200 complete" and 3 times "not owner"

  Scenario Outline: dispatch of a running "<kind>" request whose upstream is lost
    Given a dispatch upstream that answers after 100 ms in two parts 100 ms apart
    When the dispatch upstream is lost <ms> ms after a "<kind>" request arrived
    Then the dispatch result is "<result>" after 1 sends
    And the dispatch upstream saw 1 sends and 0 cancellations

    Examples:
      | kind    | ms  | result               |
      | lookup  | 50  | lost, then not owner |
      | lookup  | 250 | 200 cut, 504 unknown |
      | deposit | 50  | 504 unknown          |

  Scenario: dispatch finishes all requests on shutdown
    Given a dispatch upstream that answers after 100 ms in two parts 0 ms apart
    When dispatch is stopped while 2 requests run and 3 are queued
    Then the dispatch results are all "200 complete" after 5 sends
