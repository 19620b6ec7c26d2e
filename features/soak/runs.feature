Feature: Soak of the real programs
  Nodes, a store and upstreams run as processes, and faults come from outside. Guards against a soak
  that does not notice a system that breaks its promises.

  Scenario: the first seed that found a fault keeps all promises
    When the soak runs with seed 1 and 10 faults within 12 s
    Then the soak has no finding, and at least 100 requests were completed

  Scenario: each check finds a defect of the nodes
    When the soak runs with each of these defects of the nodes
      | defect                             | faults                    | rule               |
      | sends once-only work again         | upstreams that fail often | run-twice          |
      | says that failed work has not run  | upstreams that fail often | not-run-but-ran    |
      | moves keys without a release       | an upstream that leaves   | two-owners         |
      | answers with an earlier answer     | no faults                 | foreign-answer     |
      | grants only half of the keys       | no faults                 | unserved           |
      | follows no change of configuration | a change of configuration | configuration-late |
      | does not stop                      | no faults                 | does-not-stop      |
      | ends when the store fails          | a store that fails        | exited             |
    Then the soak finds the rule of each defect broken

  Scenario: a soak that is stopped leaves no process behind
    When the command soak gets SIGTERM while its processes run
    Then it ends with 1 and says so, and no process of it is left
