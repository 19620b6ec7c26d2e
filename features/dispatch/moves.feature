Feature: Dispatch while units move
  Requests of a unit wait while it moves, and none runs at an upstream that no longer owns the unit.

  Scenario Outline: requests that wait for a paused unit end as "<result>" if it is <end>
    When a dispatch unit is paused, 3 requests arrive and it is "<end>" after 200 ms
    Then the dispatch results are all "<result>" after <sends> sends
    And no dispatch request was sent in the first 200 ms

    Examples:
      | end         | result       | sends |
      | resumed     | 200 complete | 3     |
      | rejected    | not owner    | 0     |
      | lost        | not owner    | 0     |
      | released    | not owner    | 0     |
      | kept paused | 504 not-run  | 0     |

  Scenario: requests that are queued when their unit is paused do not start
    Given a dispatch upstream that answers after 100 ms in two chunks 0 ms apart
    When a dispatch unit is paused while 2 requests run and 3 are queued
    Then the dispatch unit was drained after 50 ms and 3 requests were still queued

  Scenario: bulky requests of a unit in progress are counted
    When a dispatch unit has an upload and a lookup in progress
    Then dispatch reports 1 bulky request running

  Scenario: queued requests do not run after the permission for their unit was withdrawn
    Given a dispatch upstream that answers after 100 ms in two chunks 0 ms apart
    When the dispatch authority withdraws the unit while 2 requests run and 3 are queued
    Then the dispatch results are 2 times "200 complete" and 3 times "not owner"

  Scenario Outline: a "<kind>" request whose upstream is lost after <ms> ms ends as "<result>"
    Given a dispatch upstream that answers after 100 ms in two chunks 100 ms apart
    When the dispatch upstream is lost <ms> ms after a "<kind>" request arrived
    Then the dispatch result is "<result>" after 1 sends
    And the dispatch upstream saw 1 sends and 0 cancellations

    Examples:
      | kind    | ms  | result               |
      | lookup  | 50  | lost, then not owner |
      | lookup  | 250 | 200 cut, 504 unknown |
      | deposit | 50  | 504 unknown          |

  Scenario: a stop of the dispatcher does not cut off queued and running requests
    Given a dispatch upstream that answers after 100 ms in two chunks 0 ms apart
    When dispatch is stopped while 2 requests run and 3 are queued
    Then the dispatch results are all "200 complete" after 5 sends
