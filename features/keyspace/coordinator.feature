Feature: Coordinator of keys
  Guards against keys with two owners, and against keys without an owner for longer than needed.

  Background:
    Given a key fleet of 3 hosts and 6 upstreams

  Scenario: all keys are assigned and stay owned
    When the key fleet runs for 10 s
    Then no key had two owners
    And all keys are owned
    And keys were without an owner for at most 0 s

  Scenario: a draining upstream hands its keys over
    When after 1 s upstream "u2" drains
    And the key fleet runs for 5 s
    Then no key had two owners
    And all keys are owned
    And "u2" holds no key
    And keys of "u2" were granted with its handover

  Scenario: the keys of a silent upstream get other owners, but only after its lease has ended
    When after 1 s upstream "u3" falls silent
    And the key fleet runs for 12 s
    Then no key had two owners
    And all keys are owned
    And "u3" holds no key
    And keys were without an owner for at most 2 s

  Scenario: renewals that a frozen upstream may have accepted do not prolong the wait for its keys
    When after 1 s upstream "u3" freezes
    And the key fleet runs for 14 s
    Then no key had two owners
    And all keys are owned
    And keys were without an owner for at most 2.5 s

  Scenario: an upstream that is frozen for a moment keeps its keys
    When after 1 s upstream "u3" freezes
    And after 1.5 s upstream "u3" answers again
    And the key fleet runs for 8 s
    Then no key had two owners
    And keys were without an owner for at most 0 s

  Scenario: no key gets two owners if an upstream carries out orders but its responses are lost
    When after 1 s the responses of upstream "u3" are lost
    And after 2 s upstream "u3" drains
    And the key fleet runs for 14 s
    Then no key had two owners
    And all keys are owned

  Scenario Outline: no lease is granted for keys that began to move while a renewal was answered late
    When after 1 s upstream "u3" freezes
    And after <pause> s upstream "u3" answers again, 0.6 s late, drains after the next renewal and ignores releases
    And the key fleet runs for 12 s
    Then no key had two owners
    And all keys are owned

    Examples:
      | pause |
      | 0.4   |
      | 0.8   |
      | 1.0   |

  Scenario: keys move before their lease ends if another upstream took their owner's address
    When after 1 s another upstream takes the address of "u4"
    And the key fleet runs for 2 s
    Then no key had two owners
    And all keys are owned

  Scenario: an upstream is granted keys after a restart that the registry does not show yet
    When after 1 s upstream "u4" restarts and drains, which the registry shows 1.2 s later
    And the key fleet runs for 4 s
    Then no key had two owners
    And all keys are owned
    And keys were without an owner for at most 1.2 s

  Scenario Outline: all keys get owners if the target of a move is lost while owners are written
    Given each call of the store takes <call> s
    When after 1 s upstream "u2" drains
    And after 0 s upstream "u3" falls silent
    And after <pause> s upstream "u4" drains
    And the key fleet runs for 14 s
    Then no key had two owners
    And all keys are owned

    Examples:
      | call | pause |
      | 0.3  | 1.2   |
      | 0.4  | 1.4   |
      | 0.4  | 2.4   |

  Scenario: keys stay owned when the coordinator is killed
    When after 1 s the coordinator is killed
    And the key fleet runs for 8 s
    Then no key had two owners
    And all keys are owned
    And keys were without an owner for at most 0 s
    And another host has the role

  Scenario: keys stay owned while the store is down for nine seconds
    When after 1 s the store is down for all hosts
    And after 9 s the store is up
    And the key fleet runs for 4 s
    Then no key had two owners
    And all keys are owned
    And keys were without an owner for at most 0 s

  Scenario Outline: keys stay owned if the coordinator stops gracefully <pause> s after the store went down
    When after 1 s the store is down for all hosts
    And after <pause> s the coordinator is stopped gracefully
    And after 7 s the store is up
    And the key fleet runs for 4 s
    Then no key had two owners
    And all keys are owned
    And keys were without an owner for at most 0 s

    Examples:
      | pause |
      | 0.05  |
      | 0.3   |
      | 0.8   |
      | 1.2   |

  Scenario: another host takes over when the store refuses the coordinator
    When after 1 s the store is down for the coordinator
    And the key fleet runs for 5 s
    Then no key had two owners
    And all keys are owned
    And keys were without an owner for at most 0 s
    And another host has the role

  Scenario: moves continue when the response to their write is lost
    When after 1 s responses of the store are lost and upstream "u2" drains
    And the key fleet runs for 6 s
    Then no key had two owners
    And all keys are owned
    And "u2" holds no key

  Scenario: a coordinator that is cut off from the upstreams gives the role back
    When after 1 s the coordinator is cut off from the upstreams
    And the key fleet runs for 8 s
    Then no key had two owners
    And all keys are owned
    And another host has the role

  Scenario: keys of a silent upstream get other owners although the coordinator is killed
    When after 1 s upstream "u3" falls silent
    And after 2 s the coordinator is killed
    And the key fleet runs for 20 s
    Then no key had two owners
    And all keys are owned
    And "u3" holds no key

  Scenario: the host without a takeover delay takes the role at the start
    Given a key fleet of 6 upstreams whose hosts have takeover delays of "0.5, 0, 0.5" s
    When the key fleet runs for 1 s
    Then host "h2" has the role
    And all keys are owned

  Scenario: keys stay owned when a host with a takeover delay takes over
    Given a key fleet of 6 upstreams whose hosts have takeover delays of "0.5, 0, 0.5" s
    When after 1 s the coordinator is killed
    And the key fleet runs for 8 s
    Then another host has the role
    And no key had two owners
    And keys were without an owner for at most 0 s

  Scenario Outline: around a hand-over of the role only one host sends orders at a time
    When after 1 s <event>
    And the key fleet runs for 8 s
    Then another host has the role
    And the first coordinator sent no order after another host had sent one

    Examples:
      | event                                  |
      | the coordinator is stopped gracefully  |
      | the store is down for the coordinator  |
      | the coordinator is killed              |
