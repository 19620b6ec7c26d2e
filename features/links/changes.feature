Feature: Changes that the coordinator sends to the other hosts
  The smallest hosts have links of 5 Mbit/s, and the coordinator serves 70 hosts or more. Guards
  against links that fail because all owners are sent at every change, and against hosts that apply
  a change to other owners than it was made for.

  Scenario: a change at 300 upstreams is sent in few bytes
    Given the owners of 300 upstreams with 800 spans
    When 10 spans get other owners
    Then a host with the previous version is sent the newest owners in at most 2000 bytes

  Scenario: a host that lags behind is sent all changes in order
    Given the owners of 300 upstreams with 800 spans
    When 10 spans get other owners
    And 10 spans get other owners
    And 10 spans get other owners
    Then a host 3 versions behind is sent the newest owners in at most 6000 bytes

  Scenario Outline: a host that <lag> is sent all owners
    Given the owners of 30 upstreams with 80 spans
    When 3 spans get other owners <changes> times
    Then a host <versions> versions behind is sent all owners in one part

    Examples:
      | lag                                            | changes | versions |
      | has a version from before the recorded changes | 1       | 100      |
      | has missed too many changes                    | 70      | 70       |

  Scenario: a change that is based on other owners is refused
    Given the owners of 30 upstreams with 80 spans
    When 3 spans get other owners
    Then a host with owners of another version refuses the change

  Scenario: unchanged entries are not sent again
    Given 300 entries of upstreams were sent
    When 2 entries change, 1 is new and 3 are removed
    Then 3 entries and 3 removals are sent
    And then nothing more is sent

  Scenario: large messages are compressed and arrive unchanged
    When all owners of 300 upstreams with 800 spans are sent over a link
    Then they arrive unchanged in at most 16000 bytes

  Scenario: a message that cannot be encoded ends the link, not the process
    When an entry with a start of 128 bits is sent over a link
    Then the link fails with "the message cannot be encoded"

  Scenario: a host reads a new configuration itself, and asks for it when it cannot
    Given a coordinator with configuration 5 and a host with configuration 4, linked
    When the link runs for 0.3 s
    Then the host has to read the configuration itself
    When the link runs for 1.2 s
    Then the host has configuration 5

  Scenario: a host that cannot read configurations itself gets them while new ones keep coming
    Given a coordinator with configuration 5 and a host with configuration 4, linked
    When a new configuration reaches the coordinator every 0.5 s
    And the link runs for 4 s
    Then the host is at most 2.5 s behind the coordinator
