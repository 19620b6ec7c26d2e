Feature: Keys over a store that comes back from an older copy
  Guards against keys with two owners, fencing tokens that are given out twice, owners that return to
  an older state, and keys that are left without an owner, when the store has lost its last writes.

  Scenario Outline: no order of faults around a restore breaks an invariant, seeds <first> to <last>
    When the key model plays the schedules of seeds <first> to <last>
    Then no key was held by two upstreams
    And no key was granted while another upstream was at work on it
    And the fencing tokens of each key rose with each new owner
    And no two hosts had the role at a time
    And no host returned to an older map
    And no key was without an owner for 15 s without faults
    And in the end all keys had an owner and one host the role

    Examples:
      | first | last |
      | 1     | 20   |
      | 21    | 40   |

  # Guards against a wait for leases to end although the holder of the role knows all of them.
  Scenario Outline: keys stay with their owners if the holder sees the restore before its role lapses
    Given a key model of 3 hosts and 4 upstreams
    When after 5 s the store is down for <outage> s and comes back <age> s old
    And the key model runs for 20 s
    Then no invariant was broken
    And no key had another owner than its first
    And keys of the model were without an owner for at most 0 s

    Examples:
      | outage | age |
      | 0      | 0.5 |
      | 0.1    | 3   |
      | 0.6    | 4.5 |

  # Guards against a last holder that, once lapsed, grants its keys anew or waits for their leases.
  Scenario Outline: keys stay with their owners if the last holder takes the lapsed role back
    Given a key model of 3 hosts and 4 upstreams
    When after 6 s the store is down for <outage> s and comes back <age> s old
    And the key model runs for 30 s
    Then no invariant was broken
    And no key had another owner than its first
    And keys of the model were without an owner for at most 0 s

    Examples:
      | outage | age |
      | 3      | 5   |
      | 4.5    | 8   |

  # Guards against claims that end before the owners are written, which waits for a silent upstream.
  # The outages begin so that a round of renewals asks for the longest lease before the role lapses.
  Scenario Outline: keys stay with the upstreams that answer, outage of <outage> s with one silent
    Given a key model of 3 hosts and 4 upstreams
    When after 6 s upstream "u1" of the model is silent for 20 s
    And after <pause> s the store is down for <outage> s and comes back 6 s old
    And the key model runs for 40 s
    Then no invariant was broken
    And keys that "u1" never had were without an owner for at most 0 s

    Examples:
      | outage | pause |
      | 2      | 0     |
      | 2.5    | 0.2   |
      | 3      | 0.4   |
      | 4      | 0.4   |

  # Guards against a taker that grants keys while leases of the earlier era run.
  Scenario Outline: keys wait for the end of earlier leases if the holder is killed <pause> s into an outage
    Given a key model of 3 hosts and 4 upstreams
    When after 8 s the store is down for <outage> s and comes back <age> s old
    And after <pause> s the coordinator of the model is killed
    And the key model runs for 35 s
    Then no invariant was broken
    And keys of the model were without an owner for at most 15 s

    Examples:
      | outage | age | pause |
      | 0.5    | 2   | 0.1   |
      | 0.5    | 6   | 0.3   |
      | 4      | 6   | 1.5   |
      | 9      | 10  | 8.5   |

  # Guards against an earlier holder that renews keys which a later holder, lost since, has moved.
  Scenario Outline: the earlier of two holders does not take moved keys back, <fault> of the later one
    Given a key model of 3 hosts and 4 upstreams
    When after 6 s the coordinator of the model is cut off from the store for 5.2 s
    And after 3 s upstream "u2" of the model drains
    And after 1 s the store is down for 1 s and comes back 8 s old
    And after 0.5 s there is a <fault> of the coordinator of the model
    And the key model runs for 35 s
    Then no invariant was broken
    And "u2" holds no key of the model

    Examples:
      | fault  |
      | kill   |
      | freeze |

  # Guards against owners as they were before a move, at the tokens that they had then.
  Scenario Outline: keys that moved after the copy stay with their new owner if <holder>
    Given a key model of 3 hosts and 4 upstreams
    When after 6 s upstream "u2" of the model drains
    And after 2 s the store is down for <outage> s and comes back <age> s old
    And after <pause> s <event>
    And the key model runs for 35 s
    Then no invariant was broken
    And "u2" holds no key of the model

    Examples:
      | holder                | outage | age | pause | event                                 |
      | the holder goes on    | 0.3    | 5   | 0.1   | nothing happens                       |
      | the holder has lapsed | 3      | 6.5 | 0.1   | nothing happens                       |
      | another host takes it | 3      | 6.5 | 1     | the coordinator of the model is killed |

  # Guards against a write of the earlier era that changes rows of the new one.
  Scenario Outline: a write that is carried out <late> s late, after the restore, changes nothing
    Given a key model of 3 hosts and 4 upstreams
    When after 6 s writes of the coordinator of the model are carried out up to <late> s late for 1 s
    And after 0.1 s upstream "u2" of the model drains
    And after 0.4 s the store is down for <outage> s and comes back 2 s old
    And the key model runs for 35 s
    Then no invariant was broken
    And "u2" holds no key of the model

    Examples:
      | late | outage |
      | 2    | 0.2    |
      | 4    | 0.2    |
      | 4    | 2      |

  # Guards against keys that a restarted upstream, which has forgotten all tokens, takes at an old one.
  Scenario Outline: an upstream that restarted under its id since the copy gets keys at new tokens only
    Given a key model of 3 hosts and 4 upstreams
    When after 6 s the coordinator of the model is cut off from the store for 5.2 s
    And after 3 s upstream "u2" of the model restarts at <address> address
    And after 1 s the store is down for 1 s and comes back <age> s old
    And after 0.5 s there is a <fault> of the coordinator of the model
    And the key model runs for 35 s
    Then no invariant was broken

    Examples:
      | address | age | fault  |
      | its     | 8   | kill   |
      | its     | 3   | kill   |
      | another | 8   | kill   |
      | its     | 8   | freeze |

  # Guards against a claim by a host that does not know that the keys were released, and the restart.
  Scenario Outline: an upstream that released keys and restarted at <address> address does not get them back
    Given a key model of 3 hosts and 4 upstreams
    When after 6 s the coordinator of the model is cut off from the store for 5.2 s
    And after 2.5 s upstream "u2" of the model drains
    And after 1 s the store is down for 1.5 s and comes back <age> s old
    And after 0.1 s there is a kill of the coordinator of the model
    And after 0.4 s upstream "u2" of the model restarts at <address> address
    And the key model runs for 35 s
    Then no invariant was broken

    Examples:
      | address | age |
      | its     | 8   |
      | its     | 3   |
      | another | 8   |

  # Guards against a claim of keys that another host granted when all leases of their owner had ended.
  Scenario: a holder that lapsed long before the restore claims nothing
    Given a key model of 3 hosts and 4 upstreams
    When after 6 s the coordinator of the model is cut off from the store for 17 s
    And after 0.5 s upstream "u2" of the model is silent for 16 s
    And after 15 s the store is down for 0.8 s and comes back 20 s old
    And after 0.1 s there is a kill of the coordinator of the model
    And the key model runs for 35 s
    Then no invariant was broken

  # Guards against tokens or owners of the first restored era that are used in the second one.
  Scenario Outline: two restores, <apart> s apart
    Given a key model of 3 hosts and 4 upstreams
    When after 8 s the store is down for <outage> s and comes back 3 s old
    And after <apart> s the store is down for <outage> s and comes back <age> s old
    And after 0.2 s upstream "u2" of the model drains
    And the key model runs for 35 s
    Then no invariant was broken
    And "u2" holds no key of the model

    Examples:
      | apart | outage | age |
      | 0.5   | 0.2    | 0.4 |
      | 1     | 0.2    | 5   |
      | 4     | 2.5    | 3   |
      | 3     | 2.5    | 9   |

  # Guards against a host that takes the role at once, beside its holder, since the copy shows none.
  Scenario Outline: the copy is of a moment at which no host had the role, outage of <outage> s
    Given a key model of 3 hosts and 4 upstreams
    When after 6 s the coordinator of the model gives the role back
    And after 3 s upstream "u2" of the model drains
    And after 1 s the store is down for <outage> s and comes back without a holder of the role
    And the key model runs for 35 s
    Then no invariant was broken
    And "u2" holds no key of the model

    Examples:
      | outage |
      | 0      |
      | 0.3    |
      | 3      |

  # Guards against owners of the new era, of which there are none, taken for those of the role's era.
  Scenario Outline: the store comes back between the write that takes the role and the read of owners
    Given a key model of 3 hosts and 4 upstreams
    When after 1 s upstream "u2" of the model drains
    And after 5 s the coordinator of the model gives the role back, and the store comes back <age> s old as another host takes it
    And the key model runs for 35 s
    Then no invariant was broken
    And keys of the model were without an owner for at most 15 s

    Examples:
      | age |
      | 0.5 |
      | 5   |

  # Guards against a claim of keys that were not granted to their new owner yet. Their previous owner
  # has the longest lease, since the store refused the coordinator shortly before.
  Scenario Outline: keys whose move was in progress when the role lapsed wait for the previous owner
    Given a key model of 3 hosts and 4 upstreams
    When after 6 s the coordinator of the model is refused by the store for 1.2 s
    And after <pause> s upstream "u2" of the model drains
    And after 0.1 s upstream "u2" of the model is silent for 12 s
    And after 0.8 s the store is down for 1.8 s and comes back 4 s old
    And the key model runs for 40 s
    Then no invariant was broken
    And "u2" holds no key of the model

    Examples:
      | pause |
      | 1.0   |
      | 1.2   |
      | 1.4   |

  # Guards against keys that are granted anew while their owner holds them by a claim of this era that
  # was never written, since the claiming host lost the store.
  Scenario Outline: keys that were claimed but not written wait for the end of those leases
    Given a key model of 3 hosts and 4 upstreams
    When after 6 s the store is down for 3 s and comes back 5 s old
    And after 0.5 s upstream "u1" of the model ends
    And after <pause> s the coordinator of the model is cut off from the store for 20 s
    And after 2 s upstream "u2" of the model drains
    And the key model runs for 45 s
    Then no invariant was broken
    And "u2" holds no key of the model

    Examples:
      | pause |
      | 5.0   |
      | 5.4   |
      | 5.8   |
