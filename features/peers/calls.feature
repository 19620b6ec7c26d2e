Feature: Calls and pushed rows between peers
  A reply reaches its own call, and no fault of a handler stops the hub.

  Scenario: replies out of order reach their own calls
    Given peers "ab"
    When calls with the revisions 1 to 20 are answered in reverse order
    Then each of the calls has the reply to its own revision

  Scenario Outline: a call that cannot be carried out is answered Failed
    Given peers "ab"
    When calls meet a handler that <fault>
    Then the calls are answered Failed with the step "<step>"
    And the calls after that succeed

    Examples:
      | fault                     | step       |
      | does not exist            | peer.call  |
      | raises ValueError         | peer.call  |
      | raises PlatformError      | table.read |
      | returns no reply          | peer.call  |

  Scenario: the reply to a call that was given up does not reach a later one
    Given peers "a"
    When calls to a scripted peer time out, and their replies come late
    Then the calls that timed out fail as sent, and the later one has its own reply

  Scenario: a large call and many small ones pass together
    Given peers "ab"
    When calls with 3000 records of 1 KB and 100 small ones are made at once
    Then the calls all arrive unchanged

  Scenario: pushed rows reach every connected peer in order, and the revision comes last
    Given peers "abc"
    When 50 rows up to revision 50 and then 1 row are pushed by "a"
    Then the rows pushed reach "b" and "c" in order with revision 50 after the 50th

  Scenario: a peer that does not read gets no more rows than the queue holds
    Given peers "a"
    When 5000 rows of 4 KB are pushed to a peer that does not read
    Then the rows pushed beyond 8 MiB are dropped, and a later revision is not claimed
