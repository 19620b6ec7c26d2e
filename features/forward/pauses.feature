Feature: Upstreams that ask a host to wait
  An upstream that turns a request away may say for how long it wants no request of this host. Guards
  against requests that reach it before, and against a pause of an earlier start that holds for the
  next one.

  Scenario: a pause of an earlier start does not hold for the next one
    When "u1" of start 1 asks to wait 5 s
    Then "u1" of start 1 is blocked as "asked to wait"
    And "u1" of start 2 is not blocked

  Scenario: a late answer of an earlier start does not end the pause of the next one
    When "u1" of start 2 asks to wait 5 s
    And "u1" of start 1 asks to wait 1 s
    Then "u1" of start 2 is blocked as "asked to wait"

  Scenario: a shorter pause does not end a longer one
    When "u1" of start 1 asks to wait 5 s
    And "u1" of start 1 asks to wait 1 s
    And 4.9 s pass
    Then "u1" of start 1 is blocked as "asked to wait"
    When 0.2 s pass
    Then "u1" of start 1 is not blocked

  Scenario: in any order of answers, failures and restarts no request is sent during a pause
    When answers with and without pauses, failures and restarts come in many arbitrary orders
    Then no upstream was open to requests, or chosen, during a pause that it had asked for
