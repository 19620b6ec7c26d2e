Feature: Settings of a node
  Guards against a node that starts with incomplete or invalid settings. Unknown fields are ignored.

  Scenario: the template in the repository, filled in, is valid
    When the node's template is filled in and read
    Then the node's settings name the host "edge-1" and the platform "10.200.1.7:8142"

  Scenario Outline: settings that are not valid are refused with the name of the field
    When the node's settings are read with <field> set to <value>
    Then the node's settings are refused for "<reason>"

    Examples:
      | field            | value       | reason           |
      | host_id          | null        | $.host_id        |
      | caller_address   | "name:80"   | $.caller_address |
      | ports            | [1]         | $.ports          |
      | log_level        | "loud"      | $.log_level      |
      | bounds           | {"grace_s": 0} | $.bounds.grace_s |

  Scenario Outline: a limit that the deployment does not set has its default
    When the node's settings are read with the bounds <bounds>
    Then the node's grace time is 6 s and its repeat ratio 0.2

    Examples:
      | bounds                                       |
      | {"grace_s": , "repeat_ratio": }              |
      | {"grace_s": null, "repeat_ratio": null}      |
      | {"repeat_ratio":}                            |
      | {}                                           |
      | null                                         |

  Scenario Outline: weak hosts leave a free coordinator role to others for some time
    When the node's settings are read with capacity set to <capacity>
    Then the node takes a free coordinator role after <seconds> s

    Examples:
      | capacity                              | seconds |
      | {"cores": 0.86, "bandwidth_mbps": 1000} | 0.0     |
      | {"cores": 0.717, "bandwidth_mbps": 200} | 0.0     |
      | {"cores": 0.43, "bandwidth_mbps": 1000} | 0.5     |
      | {"cores": 0.86, "bandwidth_mbps": 10}   | 0.5     |

  Scenario: settings that cannot be read are refused
    When the node's settings are read from a missing file
    Then the node's settings are refused for "No such file"
