Feature: Route of a request
  The longest matching prefix wins; a route's targets get requests in proportion to their weights.

  Scenario Outline: the longest prefix of the host's routes is chosen
    Given routes "a.example /x/, a.example /x/y/, b.example /x/"
    When a request for "<host>" "<target>" is matched
    Then the route is "<route>"

    Examples:
      | host          | target     | route           |
      | a.example     | /x/1       | a.example /x/   |
      | a.example     | /x/y/1?q=/ | a.example /x/y/ |
      | A.example:80  | /x/y/      | a.example /x/y/ |
      | a.example     | /x         | none            |
      | a.example     | /z/?a=/x/  | none            |
      | c.example     | /x/1       | none            |
      | b.example     | /x/y/2     | b.example /x/   |

  Scenario: targets get their shares even when there are few requests
    Given a route split "one 90, two 10"
    When 40 requests are split
    Then the split is "one 36, two 4"

  Scenario: targets whose weights are all 0 get equal shares
    Given a route split "one 0, two 0"
    When 40 requests are split
    Then the split is "one 20, two 20"
