Feature: Outcomes after several attempts
  A request is refused as "not run" only if no attempt may have run it, or the records exclude that.

  Scenario Outline: a <kind> whose attempts end with "<attempts>" is answered as <outcome>
    Given an ingress whose attempts at the holder end with "<attempts>"
    When the ingress serves a "<kind>"
    Then the ingress answers <status> with outcome "<outcome>"

    Examples:
      | kind    | attempts                    | status | outcome   |
      | lookup  | answered                    | 200    | completed |
      | lookup  | not owner, answered         | 200    | completed |
      | lookup  | refused                     | 503    | not-run   |
      | lookup  | not owner, refused          | 503    | not-run   |
      | lookup  | not sent, refused           | 503    | not-run   |
      | lookup  | sent, refused               | 504    | unknown   |
      | lookup  | lost while running, refused | 504    | unknown   |
      | lookup  | sent, not owner for ever    | 504    | unknown   |
      | lookup  | not owner for ever          | 503    | not-run   |
      | deposit | sent, refused               | 503    | not-run   |
      | deposit | sent, not owner for ever    | 504    | unknown   |
      | upload  | sent                        | 504    | unknown   |
