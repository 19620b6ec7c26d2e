Feature: Frames
  Frames arrive complete and in order, however the stream divides the bytes.

  Scenario: frames arrive complete when the stream delivers a few bytes at a time
    When frames of 0, 1, 5000 and 65541 bytes arrive in pieces of 1 to 699 bytes
    Then the wire result "frames unchanged" is "True"
    And the wire result "writes" is "1"

  Scenario Outline: a stream with malformed frames is refused
    When frames are read from a stream of <content>
    Then the wire result "error" is "PeerProtocolError wire.receive"

    Examples:
      | content                        |
      | 1 MiB and one byte in a frame  |
      | half a length                  |
      | half a frame                   |

  Scenario: a large message is sent in parts and reassembled
    When frames of a reply of 1100 rows of 4 KB are assembled
    Then the wire result "message unchanged" is "True"
    And the wire result "largest frame" is from 60000 to 70000

  Scenario: a message whose last part never arrives does not exhaust the memory
    When frames with parts of 64 KiB arrive without a last one
    Then the wire result "error" is "PeerProtocolError wire.assemble"
    And the wire result "parts accepted" is "256"
