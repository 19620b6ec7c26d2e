Feature: Plan of a change
  Guards against a change whose effects an operator cannot see before applying it.

  Background:
    Given a configuration
    And the plan starts from this configuration

  Scenario Outline: the plan shows the effects of a change
    When the configuration has <place> set to <value>
    Then the plan has the changes "<changes>"
    And the plan empties "<emptied>"
    And the plan moves between <least> and <most> of the units of "bookings/default"
    And the plan warns of "<warning>"

    Examples:
      | place                                          | value             | changes                                        | emptied     | least | most | warning                                                       |
      | rules.retry_budget                             | 0.1               | nothing                                        | nothing     | 0     | 0    | nothing new                                                   |
      | inventory.services[0].upstreams[0].state       | "leaving"         | changed upstream bookings/u1: state            | bookings/u1 | 0.2   | 0.45 | nothing new                                                   |
      | inventory.services[0].upstreams[2].state       | "active"          | changed upstream bookings/u3: state            | nothing     | 0.15  | 0.35 | nothing new                                                   |
      | inventory.services[0].upstreams[0].name        | "u9"              | added upstream bookings/u9, removed upstream bookings/u1 | bookings/u1 | 0.2 | 0.7 | upstream bookings/u1 is removed while it is active      |
      | inventory.services[0].upstreams[0].address     | "127.0.0.1:7009"  | changed upstream bookings/u1: address          | nothing     | 0     | 0    | keeps its units at another address                            |
      | inventory.services[0].upstreams[0].data_centre | "south"           | changed upstream bookings/u1: data_centre      | nothing     | 0     | 0    | gets a holder in another data centre                          |
      | inventory.data_centres[1].region               | "r"               | changed data centre south: region              | nothing     | 0     | 0    | nothing new                                                   |
      | rules.ranks[0].target_ms                       | 20                | changed rank urgent: target_ms                 | nothing     | 0     | 0    | nothing new                                                   |
      | rules.kinds[1].once                            | false             | changed kind deposit: once                     | nothing     | 0     | 0    | requests of kind deposit may run more than once               |
      | rules.kinds[3].name                            | "more"            | added kind more, removed kind detail           | nothing     | 0     | 0    | requests that only kind detail matches will be refused        |
      | rules.groups[1].name                           | "gold2"           | added group bookings/gold2, removed group bookings/gold | nothing | 0 | 0    | keys of group bookings/gold get other owners                  |
      | rules.access[0].data_centres                   | ["north"]         | changed access embassy: data_centres           | nothing     | 0     | 0    | caller embassy cannot use keys of group roster/default        |
      | rules.once_window_s                            | 700               | changed rule rules: once_window_s              | nothing     | 0     | 0    | records of once requests older than the present once_window_s |

  Scenario: another order of the ranks is a change
    When the configuration has rules.ranks set to [{"name": "bulk", "target_ms": 5000, "share": 0.1}, {"name": "urgent", "target_ms": 10, "share": 0.5}]
    Then the plan has the changes "changed rule ranks: order"

  Scenario: a service left without an active upstream is an error
    When the configuration has inventory.services[0].upstreams[0].state set to "leaving"
    And the configuration has inventory.services[0].upstreams[1].state set to "leaving"
    Then the plan fails with "inventory: $.services[0].upstreams: no active upstream; expected at least one"

  Scenario Outline: the number of shards of a group cannot be changed
    When the configuration has <place> set to 512
    Then the plan fails with "<problem>"

    Examples:
      | place                        | problem                                                                                                             |
      | inventory.services[0].shards | inventory: $.services[0].shards: 512 is not valid; expected 256, the number with which the group was created        |
      | rules.groups[0].shards       | rules: $.groups[0].shards: 512 is not valid; expected 64, the number with which the group was created               |

  Scenario: the first configuration adds everything and moves nothing
    Then the first plan has 17 additions and moves nothing
