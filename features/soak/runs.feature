Feature: Soak of the real programs
  Nodes run as processes with stand-ins for the store and the upstreams, and faults are injected.
  Guards against promises that nodes break, and against a soak that does not detect this.

  Scenario: all promises are kept for the first seed that found a fault
    When the soak runs with seed 1 and 10 faults within 12 s
    Then the soak has no finding, and at least 100 requests were completed

  Scenario: the matching check detects each defect of the nodes
    When the soak runs with each of these defects of the nodes
      | defect                             | faults                    | rule               |
      | resends at-most-once requests      | upstreams that fail often | run-twice          |
      | reports failed requests as not run | upstreams that fail often | not-run-but-ran    |
      | moves keys without a release       | an upstream that leaves   | two-owners         |
      | sends an earlier response          | no faults                 | foreign-answer     |
      | grants only half of the keys       | no faults                 | unserved           |
      | ignores configuration changes      | a change of configuration | configuration-late |
      | does not stop                      | no faults                 | does-not-stop      |
      | ignores upstreams that leave       | an upstream that leaves quietly | used-after-leaving |
      | ignores upstreams that ask to wait | upstreams that ask to wait | sent-in-pause      |
      | ends when the store fails          | a store that fails        | exited             |
      | closes connections before a response | no faults               | lost               |
      | answers for upstreams when it stops | a stop under slow work   | lost-at-stop       |
    Then the soak reports the rule that each defect breaks

  Scenario: upstreams that leave and ask to wait get no request that they do not want
    When the soak runs beside upstreams that leave quietly and ask to wait
    Then the soak has no finding, and at least 100 requests were completed

  Scenario: a store that comes back from older copies breaks no promise
    When the soak runs with 2 restores of the store, each 2 s after an upstream has joined
    Then the soak has no finding, and at least 100 requests were completed

  Scenario: a planned stop leaves no request without an answer, however slow the work is
    When the soak runs with seed 1 and 4 planned stops within 8 s under slow work
    Then the soak has no finding, and at least 100 requests were completed

  Scenario: stops, SIGHUPs and large configurations leave no request without an answer
    When the soak runs with seed 2 and 6 planned stops within 6 s beside configurations with 30000 routes
    Then the soak has no finding, and at least 100 requests were completed

  # Guards against requests without a key that are lost because the store is disturbed.
  Scenario: stops beside a disturbed store leave no request without an answer, with a key or without
    When the soak runs with 4 planned stops beside a store that is disturbed in turn
    Then the soak has no finding, and at least 100 requests were completed

  Scenario: a soak that is stopped leaves no upstream and no host running
    When the command soak gets SIGTERM while its processes run
    Then it reports the signal and exits with 1, and its upstream and its host no longer run
