Feature: Subcommands of acaciasaddle other than apply
  Guards against tracebacks, against exit codes that scripts cannot rely on, and against help
  without an example.

  Scenario Outline: the help of each subcommand shows an example and the option --json
    Given a command line whose hosts answer "refuse"
    When the command line runs "<command> --help"
    Then the command line exits with 0 and prints "Example: acaciasaddle <command> "
    And the command line prints "--json"

    Examples:
      | command         |
      | run             |
      | check           |
      | plan            |
      | apply           |
      | progress        |
      | status          |
      | explain key     |
      | explain request |

  Scenario Outline: a subcommand prints its result or error and exits with the code for it
    Given a command line whose hosts answer "<answers>"
    When the command line runs "<command>"
    Then the command line exits with <code> and prints "<text>"

    Examples:
      | command                                          | answers           | code | text                                                                    |
      | status --host 127.0.0.1:1                        | status            | 0    | bookings/u1  ready  h1@7    -          3     256    -     4             |
      | status --host 127.0.0.1:1                        | refuse            | 1    | Error: no connection: connection refused (operator.status, 127.0.0.1:1) |
      | status --host 127.0.0.1:1 --json                 | refuse            | 1    | {"error": "no connection: connection refused"                           |
      | status --host 127.0.0.1:1                        | broken            | 1    | malformed response: host: Field required                                |
      | status --host localhost:1                        | status            | 2    | is not ip:port with an IP address                                       |
      | status --host 127.0.0.1:99999                    | status            | 2    | has no port from 1 to 65535                                             |
      | progress --host 127.0.0.1:1                      | complete          | 0    | Version 5 is in force on all 2 hosts.                                   |
      | progress --host 127.0.0.1:1 --wait 1             | partial           | 4    | Version 5 is not in force on h2.                                        |
      | progress --host 127.0.0.1:1                      | lost              | 1    | no response: Server disconnected without sending a response.            |
      | explain key --host 127.0.0.1:1 bookings k        | key               | 0    | owner: bookings/u1                                                      |
      | explain key --host 127.0.0.1:1 bookings k        | 404               | 1    | answered with status 404                                                |
      | explain request --host 127.0.0.1:1 r-1           | request           | 0    | steps: 0.5 queue refused request: r-1                                   |
      | plan --host 127.0.0.1:1 EXAMPLE                  | plan              | 0    | target_ms: 10 -> 20                                                     |
      | plan --host 127.0.0.1:1 EXAMPLE                  | lost, plan        | 1    | no response                                                             |
      | plan --host 127.0.0.1:1 --host 127.0.0.1:2 EXAMPLE | lost, plan      | 0    | Units that move (estimate): 3.1%                                        |
      | plan --host 127.0.0.1:1 EXAMPLE                  | invalid           | 2    | rules: $.ranks: no rank                                                 |
      | check EXAMPLE --settings examples/utility/host.json | refuse         | 0    | Valid: examples/utility/host.json                                       |
      | check --inventory examples/indus-floe/inventory.json --rules examples/indus-floe/rules.json --settings examples/indus-floe/host.json | refuse | 0 | Valid: |
      | check EXAMPLE --settings examples/indus-floe/host.json | refuse      | 2    | $.data_centre: "karachi-a" is not valid                                 |
      | check --json --rules nowhere                     | refuse            | 2    | "problems": ["nowhere: cannot be read                                   |
      | check                                            | refuse            | 2    | Give at least one of                                                    |
      | run nowhere                                      | refuse            | 2    | nowhere: cannot be read                                                 |

  Scenario Outline: with --json a subcommand prints its result as JSON
    Given a command line whose hosts answer "<answers>"
    When the command line runs "<command> --json"
    Then the command line prints JSON with <content>

    Examples:
      | command                                   | answers  | content                               |
      | status --host 127.0.0.1:1                 | status   | "store"="up", "config_version"=5      |
      | progress --host 127.0.0.1:1               | partial  | "complete"=false                      |
      | explain key --host 127.0.0.1:1 bookings k | key      | "unit"="bookings/default/3"           |
      | explain request --host 127.0.0.1:1 r-1    | request  | "request"="r-1"                       |
      | plan --host 127.0.0.1:1 EXAMPLE           | plan     | "version"=4, "emptied"=[]             |
      | check EXAMPLE                             | refuse   | "valid"=true                          |

  Scenario: run starts the entry host with its settings and reports an address in use as a plain error
    Given a command line whose entry host fails with "Address already in use"
    When the command line runs "run examples/utility/host.json"
    Then the command line exits with 1 and prints "Error: [Errno 98] Address already in use"
    And the command line started the entry host "entry-01"
