Feature: Checker
  Guards against a checker that overlooks a broken promise.

  Scenario: two owners of one unit at the same time are reported
    Given the checker's ownership records
      | upstream | unit  | from | until |
      | u1       | s/g/1 | 0    | 100   |
      | u1       | s/g/1 | 50   | 400   |
      | u1       | s/g/2 | 0    | 100   |
      | u2       | s/g/1 | 399  | 500   |
      | u2       | s/g/2 | 100  | 200   |
    Then the checker finds "two-owners s/g/1"

  Scenario: a long ownership is compared with all later ones
    Given the checker's ownership records
      | upstream | unit  | from | until |
      | u1       | s/g/1 | 0    | 1000  |
      | u1       | s/g/1 | 50   | 60    |
      | u2       | s/g/1 | 100  | 200   |
      | u2       | s/g/1 | 300  | 400   |
    Then the checker finds "two-owners s/g/1, two-owners s/g/1"

  Scenario: a pinned key that its shard still includes is reported if the owners differ
    Given the checker's ownership records
      | upstream | unit      | from | until | excluded  |
      | u1       | s/g/0     | 0    | 100   |           |
      | u1       | s/g/0     | 100  | 200   | s/g/key:h |
      | u2       | s/g/key:h | 90   | 200   |           |
    Then the checker finds "two-owners s/g/key:h"

  Scenario: work started on an upstream while another owned the unit is reported
    Given the checker's ownership records
      | upstream | unit  | from | until |
      | u1       | s/g/1 | 0    | 100   |
    And the checker's run records
      | upstream | unit  | idempotency key | start | state     |
      | u2       | s/g/1 |                 | 99    | completed |
      | u2       | s/g/1 |                 | 100   | completed |
      | u1       | s/g/1 |                 | 50    | completed |
    Then the checker finds "run-by-other s/g/1"

  Scenario: at-most-once work that ran twice, or whose outcome is wrong for its caller, is reported
    Given the checker's run records
      | upstream | unit  | idempotency key | start | state     |
      | u1       | s/g/1 | k1              | 0     | completed |
      | u2       | s/g/1 | k1              | 0     | dropped   |
      | u1       | s/g/1 | k2              | 0     | completed |
      | u1       | s/g/1 | k3              | 0     | dropped   |
      | u1       | s/g/1 | k4              | 0     | completed |
      | u1       | s/g/1 | k5              | 0     | running   |
    And the checker's caller records
      | idempotency key | outcome   |
      | k1              | completed |
      | k2              | not-run   |
      | k3              | completed |
      | k4              | completed |
      | k5              | unknown   |
      | k6              | not-run   |
      | k7              | no-answer |
      | k8              | foreign   |
    Then the checker finds "run-twice k1, not-run-but-ran k2, completed-without-run k3, foreign-answer k8"
