Feature: Dispatch of work that runs at most once
  A repeat never runs the work again, and it runs only if the first attempt certainly did not.

  Scenario Outline: dispatch of a once repeat after the first attempt met "<action>"
    Given a dispatch upstream that will do "<action>"
    When a dispatch once request and its repeat are served
    Then the dispatch result is "<repeat>" after <sends> sends
    And the dispatch successor holds "<copy>"

    Examples:
      | action      | repeat        | sends | copy            |
      | answer      | 200 complete  | 1     | completed 200   |
      | large       | 409 completed | 1     | completed 200   |
      | reset       | 504 unknown   | 1     | started 0       |
      | cut         | 504 unknown   | 1     | started 0       |
      | shed        | 200 complete  | 2     | completed 200   |
      | late        | 200 complete  | 2     | completed 200   |
      | refuse term | 200 complete  | 2     | completed 200   |

  Scenario: dispatch marks an answer from a once record
    When a dispatch once request and its repeat are served
    Then the dispatch result is marked as replayed with the first body

  Scenario Outline: dispatch of a once repeat during the first run, waiting <budget> ms
    Given a dispatch upstream that answers after 100 ms in two parts 50 ms apart
    When a dispatch once request is served and repeated at once with <budget> ms left
    Then the dispatch result is "<result>" after 1 sends

    Examples:
      | budget | result       |
      | 1000   | 200 complete |
      | 50     | 409 unknown  |

  Scenario: dispatch keeps the answer of once work whose caller left
    Given a dispatch upstream that answers after 100 ms in two parts 50 ms apart
    When a dispatch once request is abandoned after 50 ms and repeated later
    Then the dispatch result is "200 complete" after 1 sends

  Scenario Outline: dispatch of a once request whose key is <what>
    Given a dispatch authority whose once records begin 60 s ago
    When a dispatch once request with the key "<key>" is served
    Then the dispatch result is "<result>" after <sends> sends

    Examples:
      | what                                | key    | result          | sends |
      | fresh                               | 0 s    | 200 complete    | 1     |
      | younger than the records            | 50 s   | 200 complete    | 1     |
      | older than the records              | 58 s   | 504 unknown     | 0     |
      | older than the window               | 601 s  | 504 unknown     | 0     |
      | ahead of the clock within the skew  | -4 s   | 200 complete    | 1     |
      | from the future                     | -6 s   | 400 bad request | 0     |
      | a random UUID                       | f81d4fae-7dec-41d0-a765-00a0c91e6bf6 | 400 bad request | 0 |
      | missing                             | none   | 400 bad request | 0     |

  Scenario: dispatch sends no once work before the successor has its record
    Given a dispatch successor that confirms after 30 ms
    When a dispatch request of kind "deposit" is served
    Then the dispatch upstream was sent nothing before 30 ms

  Scenario: dispatch of once work without a successor does not occupy slots
    Given a dispatch successor that confirms after 900 ms
    When two dispatch requests of kind "deposit" wait while a "lookup" is served
    Then the dispatch result is "200 complete" after 3 sends
    And the dispatch upstream was sent "GET,POST,POST", the first within 60 ms

  Scenario: dispatch reroutes once work whose record cannot be copied
    Given a dispatch successor that refuses copies
    When a dispatch request of kind "deposit" is served
    Then the dispatch result is "not owner" after 0 sends

  Scenario: dispatch withdraws the once record of a request that did not run
    Given a dispatch upstream that will do "shed"
    When a dispatch request of kind "deposit" is served
    Then a dispatcher that takes over from the copies runs the repeat

  Scenario Outline: dispatch takes over once records when the first attempt met "<action>"
    Given a dispatch upstream that will do "<action>"
    When a dispatch request of kind "deposit" is served
    Then a dispatcher that takes over from the <source> answers the repeat with "<result>"

    Examples:
      | action | source  | result       |
      | answer | copies  | 200 complete |
      | reset  | copies  | 504 unknown  |
      | answer | exports | 200 complete |
      | reset  | exports | 504 unknown  |

  Scenario: dispatch exports a once record while its request runs
    When dispatch once records are exported during a run
    Then the dispatch export says "started"

  Scenario Outline: dispatch exports once records of a key that was <change> since
    When a dispatch once request of "<unit>" is served and the records of "<wanted>" exported
    Then the dispatch export says "<states>"

    Examples:
      | change         | unit                    | wanted                  | states    |
      | pinned         | bookings/default/3      | bookings/default/key:k1 | completed |
      | unpinned       | bookings/default/key:k1 | bookings/default/3      | completed |
      | left untouched | bookings/default/3      | bookings/default/4      | none      |
      | not the pinned | bookings/default/3      | bookings/default/key:k2 | none      |

  Scenario: dispatch evicts once records without letting a repeat run
    Given a dispatch memory limit for 10 once records
    When 30 dispatch once requests are served 1 s apart and all repeated
    Then the dispatch repeats were answered "completed" or "unknown" and nothing ran twice
    And the dispatch once memory stays within its limit
    And a dispatch once request with a new key still runs

  Scenario: dispatch sends once work in the end when each copy takes longer than a slot waits
    Given a dispatch successor that confirms after 60 ms
    When a dispatch request of kind "deposit" is served
    Then the dispatch result is "200 complete" after 1 sends

  Scenario: dispatch copies a once record anew when it was left out of an export
    Given a dispatch successor that confirms after 60 ms
    When dispatch once records are exported while a copy takes long
    Then the dispatch successor got 2 copies before the send
