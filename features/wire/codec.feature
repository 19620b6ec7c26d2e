Feature: Codec
  Messages are unchanged by encoding and decoding, and malformed data raises nothing but a protocol
  error.

  Scenario: every type of message is decoded as it was encoded
    When the codec encodes and decodes samples of every message, call and reply type
    Then the wire result "samples changed" is "[]"

  Scenario Outline: malformed data raises nothing but a protocol error
    When the codec decodes 3000 inputs of <kind> with seed <seed>
    Then the wire result "other errors" is "[]"
    And the wire result "protocol errors" is from 1000 to 3000

    Examples:
      | kind                 | seed |
      | random bytes         | 11   |
      | packed random bytes  | 12   |
      | samples with changes | 13   |
      | truncated samples    | 14   |

  Scenario Outline: content that no peer encodes is refused
    When the codec decodes <content>
    Then the wire result "error" is "PeerProtocolError wire.decode"

    Examples:
      | content                                |
      | an empty frame                         |
      | a row whose value is a list            |
      | a row whose value is nested too deeply |
      | packed zeros that unpack to 64 MiB     |
      | headers with a name but no value       |
      | a record with an unknown state         |

  Scenario Outline: values that cannot be encoded are refused before they are sent
    When the codec encodes <value>
    Then the wire result "error" is "PeerProtocolError wire.encode"

    Examples:
      | value                     |
      | a status of 70000         |
      | a header with a surrogate |
      | a row with a NaN          |
