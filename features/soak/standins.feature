Feature: Stand-ins of the users' platform
  Guards against stand-ins that are kinder than the platform's pages say.

  Scenario: the store keeps its conditions, tells its changes and forgets its history
    Given a users' store
    Then a row is written under the condition that it does not exist, and not a second time
    And its feed tells the change at once, and a later change while it waits
    And after it forgot its history the feed answers 410
    And a late write takes effect only if its condition still holds
    And entries of upstreams that fall silent are removed

  Scenario: an upstream holds what it was granted, and nothing longer
    Given a users' upstream
    Then it runs nothing before a grant
    And it runs a request for a granted key with its signature
    And it refuses a grant with a lower token
    And a release ends what it holds
    And a lease of 0.3 s ends by itself
    And a grant that arrived during a pause runs from the beginning of the pause
    And a request for another upstream is refused
