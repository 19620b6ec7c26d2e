Feature: Choice among the upstreams of a service without keys
  Guards against bulky requests that cross between data centres although an equal upstream is near.
  The choices are simulated for a fleet of many data centres, without a network.

  Scenario Outline: uploads in a fleet of six data centres, with a fifth of the slots in use
    Given 51 upstreams in 6 data centres, all equally fast
    When 400 <kind> requests choose an upstream
    Then at least <local>% of them stay in their data centre
    And no upstream gets more than <most> of them

    Examples:
      | kind   | local | most |
      | bulky  | 95    | 90   |
      | urgent | 90    | 90   |

  Scenario: uploads leave their data centre while its upstreams are busy
    Given 51 upstreams in 6 data centres, all equally fast
    And the local ones have a queue
    When 400 bulky requests choose an upstream
    Then at most 5% of them stay in their data centre
