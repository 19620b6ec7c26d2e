Feature: The end of an owner's leases
  Guards against a key with two owners: its keys may only be granted elsewhere once every lease that
  the previous owner may have has ended.

  Scenario: a refused grant does not shorten the leases granted meanwhile
    Given an owner whose leases have ended
    When a grant of 3.5 s is sent at 0 s
    And a grant of 10 s is sent at 0.1 s and carried out
    And the first grant turns out not to have been carried out
    Then the owner may hold keys until at least 10.3 s

  Scenario: any order of grants and answers leaves no lease unnoticed
    When grants are sent and answered in many arbitrary orders
    Then no lease of a grant that may have been carried out ends after the noted time
    And a grant that was certainly not carried out is not waited for

  # Guards against two owners after a restore whose copy is older than the router's first row.
  Scenario Outline: a host that starts waits before it takes a role without a row, in era <era>
    Given a store of era <era> without rows of the router
    When a host that has just started polls the role
    Then it may take the role after <wait> s

    Examples:
      | era | wait |
      | 0   | 0    |
      | 1   | 0    |
      | 2   | 2.6  |
