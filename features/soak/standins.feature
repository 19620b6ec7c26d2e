Feature: Stand-ins of the users' platform
  Guards against stand-ins that are more lenient than the platform's documentation allows.

  Scenario: the store checks conditions, reports changes and can drop its history
    Given a stand-in for the users' store
    Then a write that expects no row succeeds once and fails the second time
    And a transaction can remove rows, and has at most 100 entries
    And its feed returns a past change at once, and waits for a later one
    And after the history is dropped the feed responds with 410
    And a late write takes effect only if its condition still holds
    And entries of upstreams that stop reporting are removed

  Scenario: the store comes back from an older copy
    Given a stand-in for the users' store
    Then every answer has the era, and none has it if the store sends no era
    And the era can be missing, lower than before, or not a number
    And after a restore the rows written since the copy are gone, and the era is one higher
    And after a restore the versions since the copy are given out again, in the same order
    And after a restore a feed after a version that the store does not have gets 410
    And after a restore the history up to the copy is still there
    And while the store is away, calls, waiting feeds and reports of upstreams get no response
    And after a restore the operator's newest configuration is written again, with a new version
    And a configuration that the copy has is not written again after a restore
    And after a restore a running upstream's entry is written again, also if the copy has it
    And after a restore an entry that is not reported again expires, and one written since is gone
    And a late write is applied after a restore if its condition holds then
    And a write that waits when the store goes away is not applied

  Scenario: copies of the store are bounded
    Given a stand-in for the users' store
    Then it keeps 60 copies at most, and restores the newest one that is old enough

  Scenario: an upstream owns the keys that it was granted, and only until its lease ends
    Given a stand-in for a users' upstream
    Then it refuses requests before a grant
    And it runs a request for a granted key and signs the response
    And it refuses a grant with a lower fencing token
    And a release ends its ownership
    And a lease of 0.3 s expires
    And the lease of a grant that arrived during a pause starts at the beginning of the pause
    And a request for another upstream is refused
