Feature: Upstream stand-in
  Guards the checks that fencing and leases rely on. The scenarios run on a mock clock.

  Scenario: an order older than the last accepted one changes nothing
    Given an upstream stand-in
    When the upstream stand-in gets these grants
      | term | seq | units | valid |
      | 2    | 5   | s/g/1 | 400   |
      | 1    | 9   | s/g/2 | 400   |
      | 2    | 4   | s/g/3 | 400   |
      | 2    | 5   | s/g/1 | 400   |
      | 3    | 0   | keep  | 400   |
    Then the upstream stand-in's responses to the grants are
      | accepted | term | seq | units |
      | yes      | 2    | 5   | s/g/1 |
      | no       | 2    | 5   | s/g/1 |
      | no       | 2    | 5   | s/g/1 |
      | yes      | 2    | 5   | s/g/1 |
      | yes      | 3    | 0   | s/g/1 |

  Scenario: a grant that arrives after its expiry grants nothing
    Given an upstream stand-in
    When the upstream stand-in gets these grants
      | term | seq | units | valid |
      | 2    | 1   | s/g/1 | -1    |
    Then the upstream stand-in's responses to the grants are
      | accepted | term | seq | units |
      | yes      | 2    | 1   |       |

  Scenario: a renewal does not restore a grant that has expired
    Given an upstream stand-in
    When the upstream stand-in gets these grants
      | term | seq | units | valid |
      | 2    | 1   | s/g/1 | 400   |
    And 401 ms pass for the upstream stand-in
    And the upstream stand-in gets these grants
      | term | seq | units | valid |
      | 2    | 2   | keep  | 400   |
    Then the upstream stand-in's responses to the grants are
      | accepted | term | seq | units |
      | yes      | 2    | 1   | s/g/1 |
      | yes      | 2    | 2   |       |
    And the upstream stand-in recorded the ownership "s/g/1 0-400"

  Scenario: a query of the state raises the term, so that work of the former holder is refused
    Given an upstream stand-in
    When the upstream stand-in gets these grants
      | term | seq | units | valid |
      | 2    | 5   | s/g/1 | 400   |
      | 2    | 9   |       | query |
      | 2    | 6   | keep  | 400   |
      | 3    | 1   |       | query |
    And the upstream stand-in starts this work
      | id | unit  | term |
      | a  | s/g/1 | 2    |
      | b  | s/g/1 | 3    |
    Then the upstream stand-in's responses to the grants are
      | accepted | term | seq | units |
      | yes      | 2    | 5   | s/g/1 |
      | yes      | 2    | 5   | s/g/1 |
      | yes      | 2    | 6   | s/g/1 |
      | yes      | 3    | 1   | s/g/1 |
    And the upstream stand-in's work ended as "a 421 not-run, b completed"

  Scenario: work runs only in a granted unit that does not exclude its key, and under a valid lease
    Given an upstream stand-in
    When the upstream stand-in gets these grants
      | term | seq | units              | excluded    | valid |
      | 2    | 1   | s/g/1, s/g/key:hot | s/g/key:far | 400   |
    And the upstream stand-in starts this work
      | id | unit      | key | term |
      | a  | s/g/1     | k   | 2    |
      | b  | s/g/2     | k   | 2    |
      | c  | s/g/1     | far | 2    |
      | d  | s/g/key:hot | hot | 2  |
      | e  | s/g/1     | k   |      |
    And 400 ms pass for the upstream stand-in
    And the upstream stand-in starts this work
      | id | unit  | term |
      | f  | s/g/1 | 2    |
    Then the upstream stand-in's work ended as "a completed, b 421 not-run, c 421 not-run, d completed, e 421 not-run, f 421 not-run"

  Scenario: a changed list of excluded keys applies to a shard that stays granted
    Given an upstream stand-in
    When the upstream stand-in gets these grants
      | term | seq | units | excluded    | valid |
      | 2    | 1   | s/g/1 | s/g/key:far | 400   |
    And 100 ms pass for the upstream stand-in
    And the upstream stand-in gets these grants
      | term | seq | units | excluded    | valid |
      | 2    | 2   | s/g/1 | s/g/key:hot | 400   |
      | 2    | 3   | keep  |             | 400   |
    And the upstream stand-in starts this work
      | id | unit  | key | term |
      | a  | s/g/1 | far | 2    |
      | b  | s/g/1 | hot | 2    |
    Then the upstream stand-in's work ended as "a completed, b 421 not-run"
    And the upstream stand-in recorded the ownership "s/g/1 0-100, s/g/1 100-500"
    And the upstream stand-in's journal equals its record

  Scenario: at-most-once work is checked again after its body has been read, other work is not
    Given an upstream stand-in
    When the upstream stand-in gets these grants
      | term | seq | units | valid |
      | 2    | 1   | s/g/1 | 1000  |
    And the upstream stand-in starts this work
      | id | unit  | term | once | upload |
      | a  | s/g/1 | 2    | yes  | 200    |
      | b  | s/g/1 | 2    |      | 200    |
    And 100 ms pass for the upstream stand-in
    And the upstream stand-in gets these grants
      | term | seq | units | valid |
      | 2    | 2   | s/g/2 | 1000  |
    Then the upstream stand-in's work ended as "a 421 not-run, b completed"
    And the upstream stand-in recorded the runs "b completed 0-210"
    And the upstream stand-in recorded the ownership "s/g/1 0-100, s/g/2 100-1100"
    And the upstream stand-in's response to grant 2 lists "s/g/1" as running
    And the upstream stand-in's journal equals its record
    And the journal is readable if a second process continued it and its last line is incomplete

  Scenario: work with an incomplete body does not complete
    Given an upstream stand-in
    When the upstream stand-in gets these grants
      | term | seq | units | valid |
      | 2    | 1   | s/g/1 | 1000  |
    And the upstream stand-in starts this work
      | id | unit  | term | once | cut |
      | a  | s/g/1 | 2    | yes  | yes |
      | b  | s/g/1 | 2    |      | yes |
    Then the upstream stand-in's work ended as "a cut, b cut"
    And the upstream stand-in recorded the runs "b dropped 0-0"

  Scenario: work beyond slots and queue is shed, and work whose deadline passes in the queue does not run
    Given an upstream stand-in
    When the upstream stand-in gets these grants
      | term | seq | units | valid |
      | 2    | 1   | s/g/1 | 1000  |
    And the upstream stand-in starts this work
      | id | unit  | term | work | deadline |
      | a  | s/g/1 | 2    | 100  |          |
      | b  | s/g/1 | 2    | 100  |          |
      | c  | s/g/1 | 2    | 100  | 50       |
      | d  | s/g/1 | 2    | 100  | 150      |
      | e  | s/g/1 | 2    | 100  |          |
    Then the upstream stand-in's work ended as "a completed, b completed, c 504 not-run, d completed, e 503 not-run"
    And the upstream stand-in recorded the runs "a completed 0-100, b completed 0-100, d completed 100-200"

  Scenario: a cancellation ends work that has not started and work that may run more than once
    Given an upstream stand-in
    When the upstream stand-in gets these grants
      | term | seq | units | valid |
      | 2    | 1   | s/g/1 | 1000  |
    And the upstream stand-in starts this work
      | id | unit  | term | work | once |
      | a  | s/g/1 | 2    | 100  | yes  |
      | b  | s/g/1 | 2    | 100  |      |
      | c  | s/g/1 | 2    | 100  |      |
    And 50 ms pass for the upstream stand-in
    And the upstream stand-in gets cancellations of "a, b, c, z"
    Then the upstream stand-in's cancellations ended as "running, dropped, not-run, absent"
    And the upstream stand-in's work ended as "a completed, b 503 unknown, c 503 not-run"
    And the upstream stand-in recorded the runs "a completed 0-100, b dropped 0-50"

  Scenario: after a freeze an upstream continues its runs but starts no work under an expired lease
    Given an upstream stand-in
    When the upstream stand-in gets these grants
      | term | seq | units | valid |
      | 2    | 1   | s/g/1 | 400   |
    And the upstream stand-in starts this work
      | id | unit  | term | work |
      | a  | s/g/1 | 2    | 100  |
    And the upstream stand-in gets the fault freeze_ms 1000
    And the upstream stand-in starts this work
      | id | unit  | term | work |
      | b  | s/g/1 | 2    | 100  |
    Then the upstream stand-in's work ended as "a completed, b 421 not-run"
    And the upstream stand-in recorded the runs "a completed 0-1000"

  Scenario: a leaving upstream refuses new work after a grace period and finishes accepted work
    Given an upstream stand-in
    When the upstream stand-in gets these grants
      | term | seq | units | valid |
      | 2    | 1   | s/g/1 | 9000  |
    And the upstream stand-in starts this work
      | id | unit  | term | work |
      | a  | s/g/1 | 2    | 3000 |
    And the upstream stand-in gets the fault leaving 1
    And 1999 ms pass for the upstream stand-in
    And the upstream stand-in starts this work
      | id | unit  | term |
      | b  | s/g/1 | 2    |
    And 1 ms pass for the upstream stand-in
    And the upstream stand-in starts this work
      | id | unit  | term |
      | c  | s/g/1 | 2    |
    Then the upstream stand-in's work ended as "a completed, b completed, c 503 not-run"
    And the upstream stand-in's journal equals its record

  Scenario: a cold upstream is slower
    Given an upstream stand-in
    When the upstream stand-in gets the fault cold_ms 100
    And the upstream stand-in gets these grants
      | term | seq | units | valid |
      | 2    | 1   | s/g/1 | 1000  |
    And the upstream stand-in starts this work
      | id | unit  | term | work |
      | a  | s/g/1 | 2    | 100  |
    And 150 ms pass for the upstream stand-in
    And the upstream stand-in starts this work
      | id | unit  | term | work |
      | b  | s/g/1 | 2    | 100  |
    Then the upstream stand-in recorded the runs "a completed 0-300, b completed 150-250"

  Scenario: reported health and load lag behind, or are misleading
    Given an upstream stand-in that does not check orders
    When the upstream stand-in starts this work
      | id | unit  | term | work |
      | a  | s/g/1 |      | 5000 |
    And the upstream stand-in reports its load
    And 1000 ms pass for the upstream stand-in
    And the upstream stand-in reports its load
    And the upstream stand-in gets the fault leaving 1
    And the upstream stand-in reports its load
    And 1000 ms pass for the upstream stand-in
    And the upstream stand-in reports its load
    And the upstream stand-in gets the fault misleading 1
    And the upstream stand-in reports its load
    Then the upstream stand-in reported "ready 0, ready 1, ready 1, leaving 1, ready 0"
