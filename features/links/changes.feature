Feature: What the coordinator tells the other hosts
  The smallest hosts have links of 5 Mbit/s, and the coordinator tells 70 hosts and more. Guards
  against links that are given up because whole beliefs were sent at every change, and against hosts
  that build a change on other owners than it was made for.

  Scenario: a change at 300 upstreams is told in few bytes
    Given the owners of 300 upstreams with 800 spans
    When 10 spans get other owners
    Then a host of the version before is told the newest owners in at most 2000 bytes

  Scenario: a host that lags behind gets all changes in their order
    Given the owners of 300 upstreams with 800 spans
    When 10 spans get other owners
    And 10 spans get other owners
    And 10 spans get other owners
    Then a host of 3 versions before is told the newest owners in at most 6000 bytes

  Scenario Outline: a host that <lag> gets all owners
    Given the owners of 30 upstreams with 80 spans
    When 3 spans get other owners <changes> times
    Then a host of <versions> versions before is told all owners at once

    Examples:
      | lag                        | changes | versions |
      | knows none                 | 1       | 100      |
      | has missed too many changes | 70      | 70       |

  Scenario: a change that builds on other owners is refused
    Given the owners of 30 upstreams with 80 spans
    When 3 spans get other owners
    Then a host with owners of another version refuses the change

  Scenario: entries that are the same are not told again
    Given 300 entries of upstreams were told
    When 2 entries change, 1 is new and 3 are removed
    Then 3 entries and 3 removals are told
    And then nothing more is told

  Scenario: large messages are compressed on the way and arrive whole
    When all owners of 300 upstreams with 800 spans are sent over a link
    Then they arrive the same in at most 16000 bytes

  Scenario: a host reads a new configuration itself, and asks for it when it cannot
    Given a coordinator with configuration 5 and a host with configuration 4, linked
    When the link runs for 0.3 s
    Then the host is told to read the configuration itself
    When the link runs for 1.2 s
    Then the host has configuration 5
