Feature: Headers of upstreams' answers
  Guards against values from upstreams that end the process, take an upstream out for good or are
  believed of another upstream.

  Scenario Outline: a Retry-After of "<value>" with status <status> asks for a pause of <pause>
    When an answer with status <status> has the Retry-After "<value>"
    Then the upstream asks for a pause of <pause>

    Examples:
      | status | value                         | pause |
      | 503    | 2                             | 2 s   |
      | 503    | 0.25                          | 0.25 s |
      | 503    | 0                             | 0 s   |
      | 503    | 7200                          | 60 s  |
      | 503    |                               | none  |
      | 503    | -1                            | none  |
      | 503    | nan                           | none  |
      | 503    | inf                           | none  |
      | 503    | 1e3                           | none  |
      | 503    | ²                             | none  |
      | 503    | ٣                             | none  |
      | 503    | 1.                            | none  |
      | 503    | Wed, 21 Oct 2026 07:28:00 GMT | none  |
      | 429    | 2                             | none  |
      | 200    | 2                             | none  |

  Scenario: a Retry-After of 5000 digits asks for no pause
    When an answer with status 503 has a Retry-After of 5000 digits
    Then the upstream asks for a pause of none

  Scenario Outline: an answer of <sender> with status <status> and the mark "<mark>"
    When an answer of <sender> with status <status> has the mark "<mark>"
    Then upstream "u1" <leaves>

    Examples:
      | sender | status | mark | leaves         |
      | u1     | 200    | 1    | leaves         |
      | u1     | 503    | 1    | leaves         |
      | u1     | 421    | 1    | leaves         |
      | none   | 200    | 1    | leaves         |
      | none   | 421    | 1    | does not leave |
      | u9     | 421    | 1    | does not leave |
      | u9     | 503    | 1    | does not leave |
      | u1     | 200    | 0    | does not leave |
      | u1     | 200    | yes  | does not leave |
