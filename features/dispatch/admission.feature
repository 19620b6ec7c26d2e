Feature: Admission of requests to an upstream
  Urgent work is answered in time and no rank starves, even if one rank floods the upstream.

  Scenario: an upstream never has more requests in progress than slots
    When 20 dispatch requests "lookup" arrive at once with 5000 ms each
    Then the dispatch upstream never ran more than 2 at once

  Scenario Outline: waiting requests start in the order of the policy "<policy>"
    Given the dispatch policy "<policy>" and an upstream with 1 slot
    When the dispatch requests "<arrivals>" arrive behind a running one
    Then the dispatch upstream saw the order "<order>"

    # n, u, b: rank normal, urgent, bulk; the number is the budget in hundreds of milliseconds.
    Examples:
      | policy   | arrivals    | order       |
      | fifo     | b50 n30 u20 | b50 n30 u20 |
      | strict   | b50 n30 u40 u20 | u40 u20 n30 b50 |
      | deadline | b50 n30 u40 u20 | u20 n30 u40 b50 |
      | shares   | b50 n30 u40 u20 | u20 u40 n30 b50 |

  Scenario Outline: a flood of "<flood>" does not starve the other ranks
    Given the dispatch policy "shares" and an upstream with 2 slots
    When dispatch is flooded with "<flood>" at 5 times capacity and "<other>" at 0.1 times for 10 s
    Then dispatch answered at least 95 % of "<other>" within its budget
    And dispatch answered at least 95 % of the requests that its slots can serve
    And at most one percent of the dispatch requests of each kind were answered later than their budget

    Examples:
      | flood  | other  |
      | slow   | lookup |
      | lookup | slow   |

  Scenario: a request that cannot be answered in time is refused on arrival
    Given a dispatch upstream that answers after 100 ms in two chunks 0 ms apart
    When 30 dispatch requests "lookup" arrive at once with 560 ms each after 5 in turn
    Then dispatch answered 10 of them within 520 ms and refused 20 within 0 ms as "503 not-run"
    And the last dispatch refusal asks to retry after 1 s

  Scenario: a request whose deadline passes in the queue is refused with 504
    Given a dispatch upstream that answers after 200 ms in two chunks 0 ms apart
    When 6 dispatch requests "lookup" arrive at once with 150 ms each
    Then dispatch answered 2 of them within 205 ms and refused 4 within 150 ms as "504 not-run"

  Scenario: a queued request that would be answered too late is not started
    Given a dispatch upstream that answers after 100 ms in two chunks 0 ms apart
    When 6 dispatch requests "lookup" arrive at once with 150 ms each
    Then dispatch answered 2 of them within 150 ms and refused 4 within 102 ms as "503 not-run"

  Scenario: a refusal asks to retry when the queue will be short enough
    Given the dispatch policy "fifo" and an upstream with 2 slots
    And a dispatch upstream that answers after 1000 ms in two chunks 0 ms apart
    When 30 dispatch requests "lookup" arrive at once with 20000 ms each after 2 in turn
    And a dispatch request "lookup" with 5500 ms arrives
    Then the last dispatch refusal asks to retry after 11 s

  Scenario: a full queue drops a request of the longest lane and not of a shorter one
    Given a dispatch upstream that answers after 1000 ms in two chunks 0 ms apart
    When 600 dispatch requests "lookup" arrive at once with 900000 ms each
    And a dispatch request "note" with 900000 ms arrives
    Then dispatch has 512 requests queued, one of them a "note"

  Scenario: bulky uploads do not delay short work
    Given the dispatch policy "shares" and an upstream with 2 slots
    When 4 dispatch uploads of 10 s each arrive before 20 lookups
    Then dispatch answered all lookups within 300 ms
    And all dispatch uploads are complete

  Scenario: a kind that was slow once is tried again when a slot is free
    Given a dispatch upstream that answers after 3000 ms in two chunks 0 ms apart
    When a dispatch request "lookup" with 5000 ms arrives
    And 6 s pass for dispatch
    And a dispatch request "lookup" with 2000 ms arrives
    Then the dispatch upstream saw 2 sends

  Scenario: requests that wait during a change of policy start in the new order
    Given the dispatch policy "fifo" and an upstream with 1 slot
    When the dispatch requests "b50 n30 u20" arrive behind a running one and the policy becomes "strict"
    Then the dispatch upstream saw the order "u20 n30 b50"

  Scenario: the load of an upstream is the fraction of slot time in use
    Given a dispatch upstream that answers after 500 ms in two chunks 0 ms apart
    When dispatch keeps 1 of 2 slots busy for 30 s
    Then the dispatch load is 0.5 with 0.5 of the slots used by the unit
