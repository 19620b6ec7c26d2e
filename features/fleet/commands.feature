Feature: The command line against a fleet of real processes
  Guards against exit codes and texts that are right only with a stand-in for the operator API.

  Background:
    Given the fleet runs

  Scenario: commands check, plan and apply a change, and show its progress and effects
    When the fleet's operator runs these commands
      | command                                                          | code | output                            |
      | check --inventory {drained} --rules {rules} --settings {settings} | 0   | Valid:                            |
      | check --inventory {broken} --rules {rules}                       | 2    | data_centre                       |
      | plan {host} --inventory {broken} --rules {rules}                 | 2    | data_centre                       |
      | plan {host} --inventory {drained} --rules {rules}                | 0    | bookings-03                       |
      | apply {host} --inventory {drained} --rules {rules} --expect-version 1 --wait 30 | 0 | is in force on all 4 hosts |
      | apply {host} --inventory {active} --rules {rules} --expect-version 1 | 3 | version 2 is in force            |
      | apply --host 127.0.0.1:1 {host} --inventory {active} --rules {rules} --expect-version 1 | 3 | version 2 is in force |
      | progress {host} --version 2 --wait 30                            | 0    | is in force on all 4 hosts        |
      | progress {host} --version 9                                      | 4    | is not in force on entry-0        |
      | status {host}                                                    | 0    | bookings/bookings-03              |
      | status --host 127.0.0.1:1                                        | 1    | no connection                     |
      | explain key {host} bookings k1                                   | 0    | owner: bookings/                  |
      | explain key {host} nothing k1                                    | 1    | does not exist                    |
      | explain request {host} {request}                                 | 0    | status 200                        |
      | explain request {host} entry-9-0                                 | 1    | not known here                    |
      | run {broken}                                                     | 2    | host_id                           |
      | run {settings}                                                   | 1    | Address already in use            |
    Then the fleet's upstream "bookings/bookings-03" is drained and every unit is served

  Scenario: a change whose response is lost is accepted exactly once
    Given the fleet's store loses the response to the next write
    When the fleet's operator runs these commands
      | command                                                                           | code | output         |
      | apply {host} --inventory {active} --rules {rules} --change-id lost-1 --wait 30    | 0    | is in force on |
      | apply {host} --inventory {active} --rules {rules} --change-id lost-1 --wait 30    | 0    | is in force on |
    Then the fleet's change "lost-1" is accepted exactly once, in one version
