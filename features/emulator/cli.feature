Feature: Command line of the emulator
  Guards scripts that start stand-ins, wait for their address and stop them.

  Scenario: stand-ins print their address and stop with exit code 0 on SIGTERM
    When the emulator command "platform" is started and stopped by SIGTERM
    And the emulator command "upstream --name u1" is started and stopped by SIGTERM
    Then the emulator commands printed an address and ended with exit code 0

  Scenario: subcommands show an example in their help, and errors in a workload are reported
    Then the emulator's subcommands "platform, upstream, load, soak" show an example in their help
    And the emulator's load command refuses this workload with "kinds.0.rate: Input should be greater than 0"
      """
      {duration_s: 1, kinds: [{name: "a", path: "/{key}", rate: 0, rank: "r", target_ms: 1}]}
      """
    And the emulator's load command refuses this workload with "workload is not JSON with comments"
      """
      {duration_s: 1,, }
      """
    And the emulator's load command refuses this workload with "duplicate kinds: a"
      """
      {duration_s: 1, kinds: [
        {name: "a", path: "/{key}", rate: 1, rank: "r", target_ms: 1},
        {name: "a", path: "/{key}", rate: 1, rank: "r", target_ms: 1}, // again
      ]}
      """
