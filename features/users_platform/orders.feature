Feature: Orders to upstreams
  Guards against keys that are granted elsewhere because the outcome of an order was misread.

  Scenario Outline: an order that was not answered as the platform specifies may have been carried out
    Given an upstream that answers orders with "<answer>"
    When a grant is sent
    Then the order ends as "<outcome>"

    Examples:
      | answer         | outcome              |
      | 200            | carried out          |
      | 409            | FencedError not-run  |
      | 404            | ReplacedError not-run |
      | 500            | UpstreamError unknown |
      | 503            | UpstreamError unknown |
      | reset          | UpstreamError unknown |

  Scenario: a second copy of a grant's response is not taken for the response to a release
    Given an upstream that answers a grant twice, the second time 0.05 s later
    When a grant and a release are sent
    Then the handovers are "h1"

  Scenario: a second copy of a release's response is not taken for the response to the next one
    Given an upstream that answers a release twice, the second time 0.05 s later
    When a grant, a release and a release are sent
    Then the handovers are "h1, h2"

  Scenario Outline: a second copy of a refusal is not taken for the response to the next order
    Given an upstream that refuses its first grant with <status>, and again 0.05 s later
    When a grant is refused and a <order> is sent
    Then the second order is carried out

    Examples:
      | status | order   |
      | 409    | grant   |
      | 404    | grant   |
      | 503    | grant   |
      | 409    | release |
      | 421    | release |

  Scenario Outline: an answer to an order says that the upstream leaves
    Given an upstream that answers orders with "<answer>" and the mark of one that leaves
    When a grant is sent
    Then the upstream is <known> to leave

    Examples:
      | answer | known     |
      | 200    | known     |
      | 409    | known     |
      | 404    | not known |

  Scenario Outline: an upstream responds only if it answers a health check
    Given an upstream that answers orders with "<answer>"
    When the upstream is probed
    Then it "<result>"

    Examples:
      | answer | result           |
      | 200    | responds         |
      | 503    | responds         |
      | silent | does not respond |
      | reset  | does not respond |
