Feature: Callers' requests to a fleet of real processes
  Guards against faults that other tests miss because their fakes behave better than sockets, signals
  and processes.

  Background:
    Given the fleet runs

  Scenario: requests for a key get the response of its owner through each host
    Then each host of the fleet returns the owner's response for one key of each unit

  Scenario: a repeat through another host gets the recorded response
    When the fleet's caller sends a deposit for "repeat-1" through each host in turn
    Then the fleet's responses are all 200 and equal, and all but the first are replayed

  Scenario: a response truncated by the upstream never looks complete
    When the fleet's caller gets "/bookings/cut-1?reply_bytes=300000&cut_after=100000" through each host
    Then none of the fleet's responses is complete with a status below 500

  Scenario Outline: an upload that is cut off halfway is not completed
    When the fleet's caller aborts a <method> to "<path>" after half of its body
    Then no run of the fleet's key "<key>" is completed

    Examples:
      | method | path               | key   |
      | POST   | /bookings/half-1/pay | half-1 |
      | PUT    | /roster/half-2/demo  | half-2 |

  Scenario: each host rejects bad input and keeps serving other requests
    Then the fleet responds to bad input with one of these
      | input                                 | responses       |
      | a malformed request line              | 400             |
      | a header without a colon              | 400             |
      | a header of 64 KiB                    | 400, 431        |
      | a header sent byte by byte            | a close, 408    |
      | two different lengths of the body     | 400             |
      | a length that is not a number         | 400             |
      | a path without a request kind         | 404 not-run     |
      | a deposit without an idempotency key  | 400 not-run     |
      | a deposit with an old idempotency key | 504 unknown     |
      | an upload that stalls                 | 408 unknown     |
    And the fleet serves a lookup through each host

  Scenario: forged headers of a caller have no effect
    When the fleet's caller forges all headers of the router
    Then the fleet's owner responds to the forged request, which gets a new request id

  Scenario: lookups are completed although all open connections to an upstream become silent
    When the fleet's caller sends deposits and lookups to an upstream before and after all open connections to it become silent
    Then each of the fleet's lookups is completed
    And the fleet's records show no violation
