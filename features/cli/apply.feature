Feature: acaciasaddle apply
  Guards against output that reports a change as failed although it was applied, or the reverse, and
  against a change that is applied twice.

  Scenario Outline: the exit code shows the outcome of the change
    Given a command line whose hosts answer "<answers>"
    When the command line runs "apply --host 127.0.0.1:1 --wait 2 EXAMPLE"
    Then the command line exits with <code> and prints "<text>"
    And the command line sent the change <sent> times under one identifier

    Examples:
      | answers                            | code | sent | text                                                       |
      | accepted, complete                 | 0    | 1    | Version 5 is in force on all 2 hosts.                      |
      | accepted, partial, complete        | 0    | 1    | h2 (b): behind 4                                           |
      | accepted, lost, complete           | 0    | 1    | Version 5 is in force on all 2 hosts.                      |
      | accepted, partial                  | 4    | 1    | Version 5 is not in force on h2.                           |
      | accepted, refuse                   | 4    | 1    | the progress is not known                                  |
      | accepted, interrupt                | 4    | 1    | Interrupted; the change is accepted as version 5.          |
      | lost, accepted, complete           | 0    | 2    | Accepted as version 5.                                     |
      | 503-unknown, accepted, complete    | 0    | 2    | Accepted as version 5.                                     |
      | refuse, 503-not-run, accepted, complete | 0 | 2   | Accepted as version 5.                                     |
      | conflict                           | 3    | 1    | nothing was applied, version 9 is in force: another one    |
      | lost, conflict                     | 3    | 2    | nothing was applied, version 9 is in force: another one    |
      | invalid                            | 2    | 1    | rules: $.ranks: no rank                                    |
      | 400                                | 1    | 1    | answered with status 400                                   |
      | refuse                             | 1    | 0    | the change was not applied: no connection                  |
      | 503-not-run                        | 1    | 4    | the change was not applied                                 |
      | lost                               | 4    | 4    | may or may not have been applied                           |
      | silent                             | 4    | 4    | may or may not have been applied                           |
      | lost, 503-not-run                  | 4    | 4    | may or may not have been applied                           |
      | lost, invalid                      | 4    | 4    | may or may not have been applied                           |
      | 500                                | 4    | 4    | may or may not have been applied                           |
      | broken                             | 4    | 4    | may or may not have been applied                           |

  Scenario: nothing is sent if the files are not valid
    Given a command line whose hosts answer "accepted, complete"
    When the command line runs "apply --host 127.0.0.1:1 --inventory examples/utility/inventory.json --rules examples/indus-floe/rules.json"
    Then the command line exits with 2 and prints "$.kinds[0].service: "convoy-desk" is not valid"
    And the command line sent the change 0 times under one identifier

  Scenario: the next host is tried if one cannot be reached
    Given a command line whose hosts answer "refuse, accepted, complete"
    When the command line runs "apply --host 127.0.0.1:1 --host 127.0.0.1:2 EXAMPLE"
    Then the command line exits with 0 and prints "Accepted as version 5."
    And the command line connected to ports "1, 2, 2"

  Scenario: an unreachable host does not hide that another host may have applied the change
    Given a command line whose hosts answer "lost, refuse"
    When the command line runs "apply --host 127.0.0.1:1 --host 127.0.0.1:2 EXAMPLE"
    Then the command line exits with 4 and prints "may or may not have been applied"
    And the command line sent the change 1 times under one identifier

  Scenario: an interrupted apply says how to find out its outcome
    Given a command line whose hosts answer "interrupt"
    When the command line runs "apply --host 127.0.0.1:1 --change-id c-1 EXAMPLE"
    Then the command line exits with 4 and prints "repeat with --change-id c-1"

  Scenario: with --json the outcome of the change is printed as JSON
    Given a command line whose hosts answer "accepted, complete"
    When the command line runs "apply --host 127.0.0.1:1 --change-id c-1 --expect-version 4 --author ann --json EXAMPLE"
    Then the command line prints JSON with "change_id"="c-1", "version"=5, "complete"=true
    And the command line sent "author"="ann", "expected_version"=4, "change_id"="c-1"
