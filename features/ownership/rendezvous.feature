Feature: Weighted rendezvous hashing
  Guards against units that move between candidates whose weights stay the same, and against shares
  of units that are not in proportion to the weights.

  Scenario: shares are in proportion to the weights
    Given rendezvous candidates "a=1, b=2, c=1, d=0"
    Then 20000 rendezvous units are shared as "a=0.25, b=0.5, c=0.25, d=0" within 0.02

  Scenario Outline: only the units of the changed candidate move
    Given rendezvous candidates "a=2, b=2, c=6, d=2"
    When the rendezvous candidates become "<after>"
    Then the only moves of 5000 rendezvous units are <moved>

    Examples:
      | after                     | moved  |
      | a=2, b=2, c=6             | from d |
      | a=2, b=2, c=6, d=2, e=4   | to e   |
      | a=2, b=2, c=3, d=2        | from c |
      | a=2, b=2, c=6, d=5        | to d   |
      | d=2, c=6, b=2, a=2        | none   |

  Scenario: candidates without a positive weight own nothing
    Given rendezvous candidates "a=0"
    Then a rendezvous unit has no owner
