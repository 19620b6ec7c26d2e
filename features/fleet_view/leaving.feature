Feature: Upstreams whose answers say that they leave
  Guards against requests for an upstream that has said in an answer that it leaves, because older
  news of it arrives by another way and makes it usable again.

  Background:
    Given a view with the upstreams "u1, u2, u3" and the configuration 5

  Scenario: the answer wins over a registry that still says ready
    When an answer of "u2" says that it leaves
    Then "u2" is draining
    When after 0.5 s the registry has "u1, u2, u3"
    Then "u2" is draining
    And the view has changed once

  Scenario: an entry that was removed and returns with the same start stays draining
    When an answer of "u2" says that it leaves
    And after 0.5 s the registry has "u1, u3"
    And after 9 s the registry has "u1, u2, u3"
    Then "u2" is draining

  Scenario: an answer that comes before the entry counts for the entry
    When an answer of "u4" says that it leaves
    And after 0.5 s the registry has "u1, u2, u3, u4"
    Then "u4" is draining

  Scenario: a later start of the upstream is usable, and an answer of the earlier start is not news
    When an answer of "u2" says that it leaves
    And "u2" registers with the start time 9
    Then "u2" takes new work
    When an answer of "u2" says that it leaves
    Then "u2" takes new work

  Scenario: an upstream that is missing after an outage stays out if it returns
    When an answer of "u2" says that it leaves
    And reads of the registry fail
    And after 8 s the registry has "u1, u3"
    And after 1 s the registry has "u1, u2, u3"
    Then "u2" is draining

  Scenario: keys of an upstream are served until they move, but only for a second
    When an answer of "u2" says that it leaves
    Then "u2" may serve its keys for now
    When after 1.1 s the registry has "u1, u2, u3"
    Then "u2" may serve its keys no longer

  Scenario: once the registry says so too, its keys are no longer served there
    When an answer of "u2" says that it leaves
    And "u2" reports that it drains
    Then "u2" may serve its keys no longer
    And no upstream is reported to the coordinator as leaving

  Scenario: a host reports to the coordinator what only answers have said
    When an answer of "u2" says that it leaves
    Then "u2" is reported to the coordinator as leaving

  Scenario: no order of answers, entries, news of links, removals and restarts brings one back
    When answers, entries, news and restarts come in many arbitrary orders
    Then no start of an upstream took new work after an answer said that it leaves
