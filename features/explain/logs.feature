Feature: acaciasaddle explain request with logs
  The logs are from several hosts on benchmark days (docs/days.md). The lines of those named
  "played-..." are as recorded; the others were shortened and completed by hand. Lines come in any
  order, with unreadable ones among them and clocks that differ. Guards against a failure whose
  cause is in the logs but is not found.

  Scenario: a request was refused although upstreams had free capacity, because its key was moving
    When request "00d58cb5317519c6" is explained from the logs "refused-node-1, refused-node-2"
    Then the explanation has the reason "the key has no owner now"
    And the explanation shows "keys move" with "fence=30"
    And the explanation shows "release failed" with "fence=30"
    And the explanation does not show "fence=77"
    And the explanation shows "[node] started" with "edge-gwadar-b-1"
    And the explanation counts 2 unreadable lines

  Scenario: a request failed with an unknown outcome, because the upstream reset connections
    When request "23926ed1fa3d9d39" is explained from the logs "unknown-node-1"
    Then the explanation has the reason "the upstream did not answer"
    And the explanation shows "send failed" with "request=23926ed1fa3d9d39"
    And the explanation shows "send failed" with "request=aa"

  Scenario: a request was late, because its key had moved away from the first upstream
    When request "959681f10caffb13" is explained from the logs "late-node-1"
    Then the explanation has the reason ""
    And the explanation shows "rejected by upstream" with "status=421"
    And the explanation shows "keys move" with "target=i-1812cda470"
    And the explanation does not show "service=t"

  Scenario: a request that is not in the logs is reported as an error
    When request "none" is explained from the logs "late-node-1"
    Then the explanation fails with "no line of request 'none' in 4 lines"

  Scenario Outline: failures of a benchmark day are explained (docs/incidents/bands-inc-879f.md)
    When request "<request>" is explained from the logs "<log>"
    Then the explanation has the reason "<reason>"
    And the explanation shows "<event>" with "<text>"
    And the explanation does not show "upstream gone"

    Examples:
      | request          | log            | reason                      | event                | text                             |
      | 99e049c9faebade3 | played-refused | the key has no owner now    | source lost          | source=owners                    |
      | 99e049c9faebade3 | played-refused | the key has no owner now    | keys move            | fence=294                        |
      | b1b2a87930d48bbe | played-unknown | the upstream did not answer | send failed          | connection reset                 |
      | 133a790cab8685a7 | played-late    |                             | rejected by upstream | status=421                       |
      | 133a790cab8685a7 | played-late    |                             | keys move            | target=i-a7bccb0f9b              |

  Scenario: a request failed shortly after the store came back from an older copy
    When request "aa01" is explained from the logs "restored-node-1"
    Then the explanation shows "possible cause" with "came back from an older copy 9.5 s before (era 2)"

  Scenario: the dependencies of a host show that its store came back from an older copy
    When request "aa05" is explained from the logs "restored-node-1"
    Then the explanation shows "[store] the store came back" with "era=2 before=1"

  Scenario Outline: a request that <what> is not explained by it
    When request "<request>" is explained from the logs "restored-node-1"
    Then the explanation does not show "possible cause"

    Examples:
      | what                  | request |
      | succeeded             | aa02    |
      | failed later          | aa03    |
      | failed elsewhere      | aa04    |
