Feature: Load tool
  Guards against results that count wrong, foreign or missing answers as completed.

  Scenario: all answers of a working host are completed, and the record matches the runs
    Given a load of 40 lookups and 40 deposits per second for 1 s
    When the load is sent to a working host
    Then the load's lookups are all "completed" and its deposits are all "completed"
    And the checker finds nothing in the records of the load
    And the load's idempotency keys are UUIDv7 of now, each used for one deposit

  Scenario: a deposit refused by one host is repeated through another with the same key
    Given a load of 1 lookups and 40 deposits per second for 1 s
    When the load is sent to a shedding host and a working host
    Then the load's deposits are all "completed"
    And at least one deposit of the load was refused before
    And the checker finds nothing in the records of the load

  Scenario Outline: a deposit without an answer is never reported as not run
    Given a load of 1 lookups and 40 deposits per second for 1 s
    When the load is sent to a host that sheds and a host that <fault>
    Then the load's deposits end as "no-answer, not-run" by the host that was asked last

    Examples:
      | fault              |
      | closes connections |
      | never answers      |

  Scenario Outline: an answer that is not the request's own or not whole is noticed
    Given a load of 40 lookups and 40 deposits per second for 1 s
    When the load is sent to one host that <fault>
    Then the load's lookups are all "<lookups>"
    And the load's deposits are all "<deposits>"

    Examples:
      | fault               | lookups   | deposits  |
      | mixes up paths      | foreign   | foreign   |
      | mixes up bodies     | completed | foreign   |
      | cuts answers short  | cut       | cut       |

  Scenario: requests are planned alike for one seed, and hot keys draw their share
    Then 10000 keys of the load with a hot share of 0.3 contain the hot key 2800 to 3200 times
    And the load's zipf keys draw the first key most often
