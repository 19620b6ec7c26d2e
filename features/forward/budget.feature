Feature: The budget of repeated sends
  All hosts share one budget, but none of them knows how much the others use. Guards against a large
  fleet that exceeds it, and against starting hosts that each use the whole slack.

  Scenario Outline: the repeats of <hosts> hosts stay within the shared budget
    Given <hosts> hosts that share a budget of 20% of the requests and 174 more in 10 s
    When each host gets <requests> requests and repeats as often as it may
    Then all hosts together stay within the budget
    And at least <least> repeats were sent

    Examples:
      | hosts | requests | least |
      | 12    | 100      | 300   |
      | 67    | 200      | 2000  |
      | 300   | 0        | 0     |

  Scenario: hosts that do not know how many they are use none of the slack
    Given 67 hosts that share a budget of 20% of the requests and 174 more in 10 s
    And the hosts do not know how many they are
    When each host gets 10 requests and repeats as often as it may
    Then at most 134 repeats were sent
