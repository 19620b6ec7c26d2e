Feature: Callers' requests to a fleet of real processes
  Guards against fakes of other tests that behave better than sockets, signals and processes do.

  Background:
    Given the fleet runs

  Scenario: a key gets the same owner's answer through each of the hosts
    Then the fleet answers a key of every unit alike through each host

  Scenario: a repeat through another host gets the recorded answer
    When the fleet's caller sends a deposit for "repeat-1" through each host in turn
    Then the fleet's answers are all 200 and alike, and all but the first are replayed

  Scenario: an answer cut short by the upstream never looks whole
    When the fleet's caller gets "/bookings/cut-1?reply_bytes=300000&cut_after=100000" through each host
    Then none of the fleet's answers is whole with status 200

  Scenario Outline: an upload cut halfway is not run
    When the fleet's caller breaks off a <method> to "<path>" after half of its body
    Then no run of the fleet's key "<key>" is completed

    Examples:
      | method | path               | key   |
      | POST   | /bookings/half-1/pay | half-1 |
      | PUT    | /roster/half-2/demo  | half-2 |

  Scenario Outline: bad input is refused without harm to others
    When the fleet's caller sends this bad input: <input>
    Then the fleet answers with one of: <answer>
    And the fleet answers a lookup through each host

    Examples:
      | input                              | answer        |
      | a malformed request line           | 400           |
      | a header without a colon           | 400           |
      | a header of 64 KiB                 | 400, 431      |
      | a header that dribbles in          | a close, 408  |
      | two different lengths of the body  | 400           |
      | a length that is not a number      | 400           |
      | a path of no kind                  | 404 not-run   |
      | a deposit without a key            | 400 not-run   |
      | a deposit with an old key          | 504 unknown   |

  Scenario: headers that a caller forges have no effect
    When the fleet's caller forges all headers of the system
    Then the fleet's forged request is answered by the owner under an identifier of its own

  Scenario: connections to an upstream that go silent for good hold up no one
    When the fleet's caller sends deposits and lookups to an upstream before and after all open connections to it go silent
    Then each of the fleet's lookups is answered
    And the fleet's records show no violation
