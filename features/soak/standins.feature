Feature: Stand-ins of the users' platform
  Guards against stand-ins that are more lenient than the platform's documentation allows.

  Scenario: the store checks conditions, reports changes and can drop its history
    Given a stand-in for the users' store
    Then a write that expects no row succeeds once and fails the second time
    And its feed returns a past change at once, and waits for a later one
    And after the history is dropped the feed responds with 410
    And a late write takes effect only if its condition still holds
    And entries of upstreams that stop reporting are removed

  Scenario: an upstream owns the keys that it was granted, and only until its lease ends
    Given a stand-in for a users' upstream
    Then it refuses requests before a grant
    And it runs a request for a granted key and signs the response
    And it refuses a grant with a lower fencing token
    And a release ends its ownership
    And a lease of 0.3 s expires
    And the lease of a grant that arrived during a pause starts at the beginning of the pause
    And a request for another upstream is refused
