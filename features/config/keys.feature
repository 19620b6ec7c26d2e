Feature: Kind, key, group and data centres of a request
  Guards against a request that reaches the owner of another key because the host and the upstream
  parse its path differently.

  Scenario Outline: method and path determine kind and key
    Given a configuration
    Then the configuration classifies <method> <path> as "<expected>"

    Examples:
      | method | path                      | expected             |
      | GET    | /bookings/k1              | lookup k1            |
      | GET    | /bookings/k1?day=2        | lookup k1            |
      | GET    | /bookings/a%2Fb%20c       | lookup a/b c         |
      | GET    | /bookings/k%C3%A9         | lookup ké            |
      | POST   | /bookings/k1/deposit      | deposit k1           |
      | POST   | /bookings/k1/dep%6Fsit    | deposit k1           |
      | GET    | /bookings/k1/files/a/b    | files k1             |
      | GET    | /bookings/k1/files/       | files k1             |
      | GET    | /bookings/list            | lookup list          |
      | GET    | /bookings/k1/files/detail | detail k1            |
      | GET    | /bookings/k1/files        | nothing              |
      | POST   | /bookings/k1              | nothing              |
      | GET    | /bookings/                | nothing              |
      | GET    | /bookings/..              | nothing              |
      | GET    | /bookings/%2E%2E          | nothing              |
      | GET    | /bookings/k1/files/../x   | nothing              |
      | GET    | /bookings/%FF             | nothing              |
      | GET    | bookings/k1               | nothing              |
      | get    | /bookings/k1              | nothing              |

  Scenario: the group is the one with the longest matching prefix
    Given a configuration
    Then the configuration assigns "bookings" keys "vip-1, vip-gold-1, vip, other" to groups "vip, gold, default, default"
    And the configuration assigns "roster" keys "vip-1" to groups "default"

  Scenario: rules limit the data centres that serve a group or a caller
    Given a configuration
    Then the configuration lets "north" serve group "vip" and "north, south" serve group "default"
    And the configuration lets "south" serve caller "embassy" and "north, south" serve caller "others"
    And the configuration lets no data centre serve caller "embassy" with keys of group "vip"
    And the configuration has "bookings/u1=2, bookings/u2=4" as candidates for group "vip"
