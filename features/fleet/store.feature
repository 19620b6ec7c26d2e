Feature: A fleet of real processes whose store is down
  Guards against a hidden dependency on the store in routing, takeover or start. A takeover should
  take at most 1 s; the time depends on the machine and is printed, not checked. If a holder loses its
  successor while the store is down, its units are unserved (docs/decisions/0002-store-outage.md).

  Background:
    Given the fleet runs

  Scenario: only changes and units without a successor fail, even if a holder is killed and a host starts without state
    Given the fleet's store is down
    Then the fleet serves a lookup through each host
    When the fleet's operator runs these commands
      | command                                                          | code | output                |
      | apply {host} --inventory {drained} --rules {rules} --wait 1      | 1    | was not applied       |
      | progress {host} --wait 30                                        | 0    | Version 1 is in force |
    And the fleet's holder of "bookings/bookings-00" is killed
    Then the fleet serves every unit except those whose holder lost its successor
    And the fleet refuses a request for one of those as not run
    When the fleet's host "entry-4" is started with seed addresses only
    Then the fleet's host "entry-4" becomes ready and serves the same units
    Given the fleet's store is up
    Then the fleet's configuration is still version 1
    And every unit of the fleet is served by the remaining hosts
    When the fleet's operator runs these commands
      | command                                                          | code | output                |
      | apply {host} --inventory {drained} --rules {rules} --expect-version 1 --wait 1 | 4 | Version 2 is not in force on entry- |
    Then the fleet's records show no violation
