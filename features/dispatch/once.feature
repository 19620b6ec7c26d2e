Feature: Dispatch of work that runs at most once
  A repeat runs the work only if no earlier attempt can have run it.

  Scenario Outline: a repeat after the first attempt met "<action>" does not run the work again
    Given a dispatch upstream with the script "<action>"
    When a dispatch at-most-once request and its repeat are served
    Then the dispatch result is "<repeat>" after <sends> sends
    And the dispatch successor has the record "<copy>"

    Examples:
      | action      | repeat        | sends | copy            |
      | answer      | 200 complete  | 1     | completed 200   |
      | large       | 409 completed | 1     | completed 200   |
      | reset       | 504 unknown   | 1     | started 0       |
      | cut         | 504 unknown   | 1     | started 0       |
      | shed        | 200 complete  | 2     | completed 200   |
      | late        | 200 complete  | 2     | completed 200   |
      | refuse term | 200 complete  | 2     | completed 200   |

  Scenario: a response from a record is marked as replayed
    When a dispatch at-most-once request and its repeat are served
    Then the dispatch result is marked as replayed with the first body

  Scenario Outline: a repeat during the first run waits <budget> ms for its result
    Given a dispatch upstream that answers after 100 ms in two chunks 50 ms apart
    When a dispatch at-most-once request is served and repeated at once with <budget> ms left
    Then the dispatch result is "<result>" after 1 sends

    Examples:
      | budget | result       |
      | 1000   | 200 complete |
      | 50     | 409 unknown  |

  Scenario: the response is kept for a repeat although the first caller left
    Given a dispatch upstream that answers after 100 ms in two chunks 50 ms apart
    When a dispatch at-most-once request is abandoned after 50 ms and repeated later
    Then the dispatch result is "200 complete" after 1 sends

  Scenario Outline: an at-most-once request whose key is <what> ends as "<result>"
    Given a dispatch authority whose at-most-once records go back 60 s
    When a dispatch at-most-once request with the key "<key>" is served
    Then the dispatch result is "<result>" after <sends> sends

    Examples:
      | what                                            | key    | result          | sends |
      | fresh                                           | 0 s    | 200 complete    | 1     |
      | dated after the records begin                   | 50 s   | 200 complete    | 1     |
      | dated within the skew after the records begin   | 58 s   | 504 unknown     | 0     |
      | older than the window                           | 601 s  | 504 unknown     | 0     |
      | ahead of the clock within the skew              | -4 s   | 200 complete    | 1     |
      | from the future                                 | -6 s   | 400 bad request | 0     |
      | a random UUID                                   | f81d4fae-7dec-41d0-a765-00a0c91e6bf6 | 400 bad request | 0 |
      | missing                                         | none   | 400 bad request | 0     |

  Scenario: at-most-once work is not sent before the successor has its record
    Given a dispatch successor that confirms after 30 ms
    When a dispatch request of kind "deposit" is served
    Then the dispatch upstream was sent nothing before 30 ms

  Scenario: at-most-once work that waits for a slow successor gives its slot back
    Given a dispatch successor that confirms after 900 ms
    When two dispatch requests of kind "deposit" wait while a "lookup" is served
    Then the dispatch result is "200 complete" after 3 sends
    And the dispatch upstream was sent "GET,POST,POST", the first within 60 ms

  Scenario: at-most-once work whose record cannot be copied is not sent but routed again
    Given a dispatch successor that refuses copies
    When a dispatch request of kind "deposit" is served
    Then the dispatch result is "not owner" after 0 sends

  Scenario: the successor deletes the record of a request that did not run
    Given a dispatch upstream with the script "shed"
    When a dispatch request of kind "deposit" is served
    Then a dispatcher that takes over from the copies runs the repeat

  Scenario Outline: a takeover from <source> does not run work again that met "<action>"
    Given a dispatch upstream with the script "<action>"
    When a dispatch request of kind "deposit" is served
    Then a dispatcher that takes over from the <source> answers the repeat with "<result>"

    Examples:
      | action | source  | result       |
      | answer | copies  | 200 complete |
      | reset  | copies  | 504 unknown  |
      | answer | exports | 200 complete |
      | reset  | exports | 504 unknown  |

  Scenario: the record of a running request is exported
    When dispatch at-most-once records are exported during a run
    Then the dispatch export contains "started"

  Scenario Outline: an export for <case> contains the right records
    When a dispatch at-most-once request of "<unit>" is served and records of "<wanted>" exported
    Then the dispatch export contains "<states>"

    Examples:
      | case                 | unit                    | wanted                  | states    |
      | a key pinned later   | bookings/default/3      | bookings/default/key:k1 | completed |
      | a key unpinned later | bookings/default/key:k1 | bookings/default/3      | completed |
      | another shard        | bookings/default/3      | bookings/default/4      | none      |
      | another key          | bookings/default/3      | bookings/default/key:k2 | none      |

  Scenario: an evicted record does not let a repeat run again
    Given a dispatch memory limit for 10 at-most-once records
    When 30 dispatch at-most-once requests are served 1 s apart and all repeated
    Then the dispatch repeats were answered with the response, "completed" or "unknown", and nothing ran twice
    And the memory of dispatch at-most-once records stays within its limit
    And a dispatch at-most-once request with a new key still runs

  Scenario: at-most-once work is sent even if each copy takes longer than its slot is kept
    Given a dispatch successor that confirms after 60 ms
    When a dispatch request of kind "deposit" is served
    Then the dispatch result is "200 complete" after 1 sends

  Scenario: a record that was left out of an export is copied again before sending
    Given a dispatch successor that confirms after 60 ms
    When dispatch at-most-once records are exported while a copy takes long
    Then the dispatch successor got 2 copies before the send
