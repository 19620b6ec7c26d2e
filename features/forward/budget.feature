Feature: The budget of repeated sends
  All hosts share one budget, and none of them sees what the others use. Guards against a large
  fleet that overspends it, and against hosts that start and take the whole slack for themselves.

  Scenario Outline: <hosts> hosts repeat all that they may
    Given <hosts> hosts that share a budget of 20% of the requests and 174 more in 10 s
    When each host gets <requests> requests and repeats as often as it may
    Then all hosts together stay within the budget
    And at least <least> repeats were sent

    Examples:
      | hosts | requests | least |
      | 12    | 100      | 300   |
      | 67    | 200      | 2000  |
      | 300   | 0        | 0     |

  Scenario: hosts that do not know how many there are leave the slack alone
    Given 67 hosts that share a budget of 20% of the requests and 174 more in 10 s
    And none of the hosts knows how many there are
    When each host gets 10 requests and repeats as often as it may
    Then at most 134 repeats were sent
