Feature: Dispatch when upstreams and callers fail
  A request is repeated only if that is harmless, and its outcome is never guessed.

  Scenario Outline: dispatch of a "<kind>" request when the upstream does "<action>"
    Given a dispatch upstream that will do "<action>"
    When a dispatch request of kind "<kind>" is served
    Then the dispatch result is "<result>" after <sends> sends

    Examples: idempotent work is retried until an answer has begun
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

    Examples: work that is not idempotent is sent once
      | kind    | action          | result               | sends |
      | deposit | refuse connect  | 200 complete         | 1     |
      | deposit | refuse all      | 503 not-run          | 0     |
      | deposit | silent          | 504 unknown          | 1     |
      | deposit | reset           | 504 unknown          | 1     |
      | deposit | head then reset | 200 cut, 504 unknown | 1     |
      | deposit | refuse term     | not owner            | 1     |
      | deposit | shed            | 503 not-run          | 1     |
      | note    | reset           | 504 unknown          | 1     |

  Scenario: dispatch tells the authority of a refused term
    Given a dispatch upstream that will do "refuse term"
    When a dispatch request of kind "lookup" is served
    Then the dispatch authority was told of term 4

  Scenario: dispatch stops retrying when the budget is spent
    Given a dispatch upstream that will do "reset" 60 times
    When 20 dispatch requests of kind "lookup" are served in turn
    Then the dispatch upstream saw 31 sends

  Scenario: dispatch does not repeat a request whose body is used up
    Given a dispatch upstream that will do "reset"
    When a dispatch upload of "abc,def" is served
    Then the dispatch result is "504 unknown" after 1 sends

  Scenario Outline: dispatch of an upload that <what>
    When a dispatch upload of "<chunks>" with <pause> s between chunks is served
    Then the dispatch result is "<result>" after 1 sends
    And the dispatch upstream got "<body>" with the whole body "<whole>"

    Examples:
      | what           | chunks      | pause | result       | body   | whole |
      | is slow        | abc,def,ghi | 25    | 200 complete | abcdefghi | yes |
      | stalls         | abc,def     | 31    | 408 unknown  |        | no    |
      | is cut halfway | abc,CUT     | 0     | 400 unknown  | abc    | no    |
      | is too short   | abc,SHORT   | 0     | 400 unknown  | abc    | no    |

  Scenario Outline: dispatch of a "<kind>" request whose caller leaves <when>
    Given a dispatch upstream that answers after 100 ms in two parts 50 ms apart
    When a dispatch request of kind "<kind>" is served and its caller leaves <when>
    Then the dispatch upstream saw <sends> sends and <cancels> cancellations
    And the dispatch slots are all free

    Examples:
      | kind    | when                 | sends | cancels |
      | lookup  | while it is queued   | 2     | 0       |
      | lookup  | after it was sent    | 1     | 1       |
      | lookup  | during the answer    | 1     | 1       |
      | deposit | while it is queued   | 2     | 0       |
      | deposit | after it was sent    | 1     | 0       |
      | deposit | during the answer    | 1     | 0       |

  Scenario: a dispatch request that outlives its dispatcher ends without a failure
    Given a dispatch upstream that answers after 100 ms in two parts 50 ms apart
    When a dispatch request of kind "lookup" is served and its dispatcher ends after it was sent
    Then the dispatch result is "caller gone" after 1 sends

  Scenario: dispatch cuts an answer that its caller does not take for 30 s
    When a dispatch request is served whose caller takes no answer
    Then the dispatch result is "200 cut, 504 unknown" after 1 sends
    And the dispatch slots are all free

  Scenario: dispatch frees the slot of once work on a silent connection before its outcome
    Given the dispatch policy "shares" and an upstream with 1 slot
    And a dispatch upstream that will do "silent"
    When a dispatch request "deposit" with 2000 ms arrives
    And 1.4 s pass for dispatch
    And a dispatch request of kind "lookup" is served
    Then the dispatch result is "200 complete" after 2 sends

  Scenario: dispatch logs its decision with request, unit, upstream and reason
    Given a dispatch upstream that will do "reset"
    When a dispatch request of kind "lookup" is served
    Then the dispatch log says "Sending request., Retrying request., Sending request."

  Scenario: dispatch of work that runs once avoids connections that were quiet for a second
    When a dispatch request of kind "lookup" is served
    And 1.5 s pass for dispatch
    And a dispatch request of kind "lookup" is served
    And 1.5 s pass for dispatch
    And a dispatch request of kind "deposit" is served
    And a dispatch request of kind "deposit" is served
    Then the dispatch upstream saw the connections "1,1,2,2"

  Scenario: dispatch closes connections that are idle for 30 s
    When a dispatch request of kind "lookup" is served
    And 31 s pass for dispatch
    Then the dispatch upstream has 0 open connections

  Scenario: dispatch replaces headers of the system and drops hop-by-hop ones
    When a dispatch request is served with headers of its own
    Then the dispatch upstream got only the headers that it should

  Scenario: dispatch gives upstreams that do not check a time limit in place of a deadline
    Given a dispatch upstream that does not check orders
    When a dispatch request of kind "lookup" is served
    Then the dispatch upstream got a timeout of 1999 ms and no term
