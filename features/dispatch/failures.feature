Feature: Dispatch when upstreams and callers fail
  A request is retried only if it did not run or running it twice does no harm, and its outcome is
  never guessed.

  Scenario Outline: a "<kind>" request to an upstream with the script "<action>" ends as "<result>"
    Given a dispatch upstream with the script "<action>"
    When a dispatch request of kind "<kind>" is served
    Then the dispatch result is "<result>" after <sends> sends

    Examples: idempotent work is retried unless it was refused or a response has begun
      | kind   | action          | result                 | sends |
      | lookup | answer          | 200 complete           | 1     |
      | lookup | refuse connect  | 200 complete           | 1     |
      | lookup | refuse all      | 503 not-run            | 0     |
      | lookup | silent          | 200 complete           | 2     |
      | lookup | reset           | 200 complete           | 2     |
      | lookup | head then reset | 200 cut, 504 unknown   | 1     |
      | lookup | cut             | 200 cut, 504 unknown   | 1     |
      | lookup | stall           | 200 cut, 504 unknown   | 1     |
      | lookup | refuse term     | not owner              | 1     |
      | lookup | reset,shed      | 504 unknown            | 2     |
      | lookup | silent,late     | 504 unknown            | 2     |
      | lookup | reset,refuse term | lost, then not owner | 2     |
      | lookup | shed            | 503 not-run            | 1     |
      | lookup | late            | 504 not-run            | 1     |

    Examples: responses that are not valid HTTP are no responses
      | kind    | action            | result       | sends |
      | lookup  | status 600        | 200 complete | 2     |
      | deposit | status 600        | 504 unknown  | 1     |
      | deposit | version 2.0       | 504 unknown  | 1     |
      | deposit | length and chunks | 504 unknown  | 1     |
      | deposit | chunks in 1.0     | 504 unknown  | 1     |
      | deposit | 204 with a body   | 504 unknown  | 1     |

    Examples: work that is not idempotent is not sent twice
      | kind    | action          | result               | sends |
      | deposit | refuse connect  | 200 complete         | 1     |
      | deposit | refuse all      | 503 not-run          | 0     |
      | deposit | silent          | 504 unknown          | 1     |
      | deposit | reset           | 504 unknown          | 1     |
      | deposit | head then reset | 200 cut, 504 unknown | 1     |
      | deposit | refuse term     | not owner            | 1     |
      | deposit | shed            | 503 not-run          | 1     |
      | note    | reset           | 504 unknown          | 1     |

  Scenario: the authority learns that the upstream refused its term
    Given a dispatch upstream with the script "refuse term"
    When a dispatch request of kind "lookup" is served
    Then the dispatch authority was told that term 4 was refused

  Scenario: a failing upstream gets no more retries once the retry budget is spent
    Given a dispatch upstream with the script "reset" repeated 60 times
    When 20 dispatch requests of kind "lookup" are served in turn
    Then the dispatch upstream saw 31 sends

  Scenario: a request whose body has been read is not retried
    Given a dispatch upstream with the script "reset"
    When a dispatch upload of "abc,def" is served
    Then the dispatch result is "504 unknown" after 1 sends

  Scenario Outline: an upload whose upstream answers <how> and stops reading ends as "<result>"
    Given a dispatch upstream with the script "<action>"
    When a dispatch upload of "abc,def" with 1 s between chunks is served
    Then the dispatch result is "<result>" after 1 sends

    Examples: without a length, a response whose connection broke off may be a part of the body
      | how              | action       | result               |
      | without a length | early end    | 200 cut, 504 unknown |
      | with a length    | early answer | 200 complete         |

  Scenario Outline: an upload that <what> ends as "<result>"
    When a dispatch upload of "<chunks>" with <pause> s between chunks is served
    Then the dispatch result is "<result>" after 1 sends
    And the dispatch upstream got the body "<body>", complete "<complete>"

    Examples:
      | what           | chunks      | pause | result       | body      | complete |
      | is slow        | abc,def,ghi | 25    | 200 complete | abcdefghi | yes      |
      | stalls         | abc,def     | 31    | 408 unknown  |           | no       |
      | is cut halfway | abc,CUT     | 0     | 400 unknown  | abc       | no       |
      | is too short   | abc,SHORT   | 0     | 400 unknown  | abc       | no       |

  Scenario Outline: a "<kind>" request whose caller leaves <when> does not keep its slot
    Given a dispatch upstream that answers after 100 ms in two chunks 50 ms apart
    When a dispatch request of kind "<kind>" is served and its caller leaves <when>
    Then the dispatch upstream saw <sends> sends and <cancels> cancellations
    And the dispatch slots are all free

    Examples:
      | kind    | when                 | sends | cancels |
      | lookup  | while it is queued   | 2     | 0       |
      | lookup  | after it was sent    | 1     | 1       |
      | lookup  | during the response  | 1     | 1       |
      | deposit | while it is queued   | 2     | 0       |
      | deposit | after it was sent    | 1     | 0       |
      | deposit | during the response  | 1     | 0       |

  Scenario: a request that outlives its dispatcher ends without an error
    Given a dispatch upstream that answers after 100 ms in two chunks 50 ms apart
    When a dispatch request of kind "lookup" is served and its dispatcher ends after it was sent
    Then the dispatch result is "caller gone" after 1 sends

  Scenario: a response that its caller does not read for 30 s is cut off and its slot freed
    When a dispatch request is served whose caller does not read the response
    Then the dispatch result is "200 cut, 504 unknown" after 1 sends
    And the dispatch slots are all free

  Scenario: at-most-once work on a silent connection does not keep its slot until its outcome is known
    Given the dispatch policy "shares" and an upstream with 1 slot
    And a dispatch upstream with the script "silent"
    When a dispatch request "deposit" with 2000 ms arrives
    And 1.4 s pass for dispatch
    And a dispatch request of kind "lookup" is served
    Then the dispatch result is "200 complete" after 2 sends

  Scenario: each attempt is logged with request, unit, upstream and reason
    Given a dispatch upstream with the script "reset"
    When a dispatch request of kind "lookup" is served
    Then the dispatch log says "Sending request., Retrying request., Sending request."

  Scenario: at-most-once work does not use connections that were idle for a second
    When a dispatch request of kind "lookup" is served
    And 1.5 s pass for dispatch
    And a dispatch request of kind "lookup" is served
    And 1.5 s pass for dispatch
    And a dispatch request of kind "deposit" is served
    And a dispatch request of kind "deposit" is served
    Then the dispatch upstream saw the connections "1,1,2,2"

  Scenario: connections that are idle for 30 s are closed
    When a dispatch request of kind "lookup" is served
    And 31 s pass for dispatch
    Then the dispatch upstream has 0 open connections

  Scenario: callers cannot set reserved headers, and hop-by-hop headers are dropped
    When a dispatch request is served whose caller sets reserved and hop-by-hop headers
    Then the dispatch upstream got only the caller's end-to-end headers and the dispatcher's own

  Scenario: an upstream that does not check orders gets a timeout instead of a deadline
    Given a dispatch upstream that does not check orders
    When a dispatch request of kind "lookup" is served
    Then the dispatch upstream got a timeout of 1999 ms and no term
