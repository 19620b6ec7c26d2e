Feature: Load tool
  Guards against results that count incomplete, foreign or missing responses as completed.

  Scenario: all requests to a working host complete, and the caller records match the runs
    Given a load of 40 lookups and 40 deposits per second for 1 s
    When the load is sent to a working host
    Then the load's lookups are all "completed" and its deposits are all "completed"
    And the checker finds nothing in the records of the load
    And the load's idempotency keys are UUIDv7 with the present time, each used for one deposit

  Scenario: a deposit refused by one host is repeated through another with the same idempotency key
    Given a load of 1 lookups and 40 deposits per second for 1 s
    When the load is sent to a shedding host and a working host
    Then the load's deposits are all "completed"
    And at least one deposit of the load was refused at first
    And the checker finds nothing in the records of the load

  Scenario Outline: the record of a deposit keeps the outcomes of both attempts
    Given a load of 1 lookups and 40 deposits per second for 1 s
    When the load is sent to a host that sheds and a host that <fault>
    Then the load's deposits end as "no-answer, not-run" depending on the host that was tried last

    Examples:
      | fault              |
      | closes connections |
      | never answers      |

  Scenario Outline: a response that belongs to another request or is incomplete is detected
    Given a load of 40 lookups and 40 deposits per second for 1 s
    When the load is sent to one host that <fault>
    Then the load's lookups are all "<lookups>"
    And the load's deposits are all "<deposits>"

    Examples:
      | fault                | lookups   | deposits  |
      | mixes up paths       | foreign   | foreign   |
      | mixes up bodies      | completed | foreign   |
      | cuts responses short | cut       | cut       |

  Scenario: a seed always gives the same keys, and hot keys get their share
    Then 10000 keys of the load with a hot share of 0.3 contain the hot key 2800 to 3200 times
    And the first of the load's zipf keys is drawn most often
