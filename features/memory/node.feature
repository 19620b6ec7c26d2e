Feature: Memory of a node
  Guards against a node that exceeds the memory of a small host and ends with all its requests, and
  against requests that end without an answer where memory is short.

  Scenario: large uploads beside changes of a large configuration
    Given a node on a host with 200 MB, with 1640 routes and an upstream that takes 0.3 s for an upload
    When 4 uploads of 45 MB, 10 of 2 MB and 60 of 0.3 MB arrive while 1600 routes are added and changed
    Then the node's memory stayed below 200 MB
    And each request was answered, and those with 200 were run
    And all uploads of 45 MB were run

  Scenario: uploads without a stated length
    Given a node on a host with 200 MB, with 2 routes and an upstream that takes 0.3 s for an upload
    When 8 uploads of 20 MB arrive in chunks
    Then the node's memory stayed below 200 MB
    And each request was answered, and those with 200 were run

  Scenario: large responses to callers that read slowly
    Given a node on a host with 200 MB, with 2 routes and an upstream that takes 0.3 s for an upload
    When 12 requests get responses of 10 MB, which their callers read at 20 MB/s
    Then the node's memory stayed below 200 MB
    And all of them were answered with 200

  Scenario: a single upload of the greatest size
    Given a node on a host with 200 MB, with 3240 routes and an upstream that takes 0.3 s for an upload
    When 1 upload of 67.1 MB arrives
    Then the node's memory stayed below 200 MB
    And all of them were answered with 200

  Scenario: an upload that cannot be served in its time is refused, and its caller gets the answer
    Given a node on a host with 200 MB, with 2 routes and an upstream that takes 1.5 s for an upload
    When uploads of 60 MB with 0.8 s left arrive behind one of 60 MB, and one caller reads only after sending
    Then the answers to them are "503, 503"
    And small requests were answered meanwhile
    And only the first upload was run

  Scenario: a planned stop while uploads wait for memory
    Given a node on a host with 200 MB, with 2 routes and an upstream that takes 1 s for an upload
    When 4 uploads of 60 MB arrive and the node gets SIGTERM 0.5 s later
    Then each request was answered, and those with 200 were run
    And the node ended within 6 s of the signal

  Scenario: large responses behind one that comes later
    Given a node on a host with 200 MB, with 2 routes and an upstream that takes 0.5 s for an upload
    When 1 callers each send 14 requests on one connection, with responses of 10 MB
    Then the node's memory stayed below 200 MB
    And all of them were answered with 200

  Scenario: many responses that wait for memory
    Given a node on a host with 200 MB, with 2 routes and an upstream that takes 0.5 s for an upload
    When 80 callers each send 16 requests on one connection, with responses of 0.3 MB that they do not read for 5 s
    Then the node's memory stayed below 200 MB
    And all of them were answered with 200
