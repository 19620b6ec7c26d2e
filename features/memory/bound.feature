Feature: Bound on the memory of bodies
  Guards against bodies that take more memory than the host has, against uploads that wait in vain,
  for ever or in the wrong order, and against tasks that wait for each other.

  Scenario: uploads are admitted by rank, then in the order of their arrival
    Given the memory of bodies on a host with 200 MB
    When these uploads arrive
      | name | at  | MB | rank | held for | time left |
      | a    | 0   | 60 | 1    | 1        | 20        |
      | b    | 0.1 | 60 | 2    | 1        | 20        |
      | c    | 0.2 | 60 | 1    | 1        | 20        |
      | d    | 0.3 | 1  | 2    | 1        | 20        |
    Then the uploads end as "a held at 0, c held at 1, b held at 2, d held at 2"
    And no memory is held

  Scenario: an upload that cannot be served in its time is refused at once
    Given the memory of bodies on a host with 200 MB
    When these uploads arrive
      | name | at  | MB | rank | held for | time left |
      | a    | 0   | 74 | 1    | 2        | 20        |
      | b    | 0.1 | 60 | 1    | 1        | 0.3       |
      | c    | 0.1 | 75 | 1    | 1        | 20        |
    Then the uploads end as "a held at 0, b refused at 0.1, c refused at 0.1"

  Scenario: an upload waits no longer than it can be served
    Given the memory of bodies on a host with 200 MB
    When these uploads arrive
      | name | at  | MB | rank | held for | time left |
      | a    | 0   | 74 | 1    | 5        | 20        |
      | b    | 0.1 | 10 | 1    | 1        | 3         |
    Then the uploads end as "a held at 0, b refused at 2.6"
    And no memory is held

  Scenario: an upload whose connection ends while it waits leaves its place
    Given the memory of bodies on a host with 200 MB
    When these uploads arrive, and that of b is cancelled at 0.5 s
      | name | at  | MB | rank | held for | time left |
      | a    | 0   | 74 | 1    | 1        | 20        |
      | b    | 0.1 | 74 | 1    | 9        | 20        |
      | c    | 0.2 | 74 | 1    | 1        | 20        |
    Then the uploads end as "a held at 0, c held at 1"
    And no memory is held

  Scenario: a host that stops refuses the uploads that wait, and those that would have to
    Given the memory of bodies on a host with 200 MB
    When these uploads arrive, and the host stops at 0.5 s
      | name | at  | MB | rank | held for | time left |
      | a    | 0   | 60 | 1    | 1        | 20        |
      | b    | 0.1 | 60 | 1    | 1        | 20        |
      | c    | 0.6 | 60 | 1    | 1        | 20        |
      | d    | 0.6 | 5  | 1    | 1        | 20        |
    Then the uploads end as "a held at 0, b refused at 0.5, c refused at 0.6, d held at 0.6"

  Scenario: small bodies are held while large ones take all that they may, and are limited too
    Given the memory of bodies on a host with 200 MB
    When uploads hold 74 MB and responses 13 MB
    Then 120 bodies of 64 KB are held without waiting
    And no more than 200 bodies of 64 KB are held

  Scenario: responses without length that grow at the same time all come to their end
    Given the memory of bodies on a host with 200 MB
    When 12 responses of 16 MB grow by 1 MB at a time and are held for 0.2 s at their end
    Then all of them have ended within 3 s
    And at most 117 MB were held at once

  Scenario: the memory of a body that is dropped without being released is free again
    Given the memory of bodies on a host with 200 MB
    When an upload of 74 MB is dropped without being released
    Then an upload of 74 MB is held without waiting
