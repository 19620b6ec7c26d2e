Feature: Planning of key moves
  Guards against upstreams that are overloaded while others idle, with load patterns of busy days.

  Scenario: upstreams of different speed get load in proportion to their speed
    Given key owners "fast 0-32767, slow 32768-65535" of which "slow" takes 2 times as long
    And 600 requests for evenly spread keys
    When the keys are balanced for 12 rounds
    Then the load of "fast" is between 1.6 and 2.5 times that of "slow"

  Scenario: a range of hot keys is split until no upstream has much more than the mean load
    Given key owners "a 0-16383, b 16384-32767, c 32768-49151, d 49152-65535"
    And 300 requests for evenly spread keys
    And 200 requests for 60 keys from 1000
    When the keys are balanced for 20 rounds
    Then no upstream has more than 1.35 times the mean load

  Scenario: an upstream that joins gets keys even without load samples
    Given key owners "a 0-32767, b 32768-65535"
    And an upstream "c" without keys
    When the keys are balanced for 6 rounds
    Then "c" holds keys

  Scenario: the keys of a leaving upstream are spread over the other upstreams by load
    Given key owners "a 0-16383, b 16384-32767, c 32768-49151, d 49152-65535"
    And 400 requests for evenly spread keys
    When "b" leaves and the next moves are planned
    Then "b" holds no keys in the plan
    And no upstream has more than 1.35 times the mean load

  Scenario: two upstreams at one address are told apart
    Given key owners "a 0-65535"
    And 400 requests for evenly spread keys
    And upstreams "b" and "c" without keys at one address
    When the keys are balanced for 6 rounds
    Then "b" holds keys
    And "c" holds keys

  Scenario: an even load causes no moves
    Given key owners "a 0-32767, b 32768-65535"
    And 400 requests for evenly spread keys
    When the keys are balanced for 3 rounds
    Then no keys have moved

  Scenario: keys that are already moving are not moved again
    Given key owners "a 0-32767, b 32768-65535"
    And the keys of "a" are moving
    And 400 requests for 60 keys from 1000
    When the keys are balanced for 1 rounds
    Then no keys have moved

  Scenario: neighbouring ranges of one owner are joined at a new fencing token
    Given key owners "a 0-99, a 100-32767, b 32768-65535"
    When neighbouring ranges are joined
    Then the owners are "a 0-32767, b 32768-65535"
    And the fencing token of the first range is above all earlier ones
