Feature: Frames
  Frames arrive whole and in order, however the bytes are cut up on the way.

  Scenario: frames arrive whole when the stream delivers a few bytes at a time
    When frames of 0, 1, 5000 and 65541 bytes arrive in pieces of 1 to 700 bytes
    Then the wire's frames unchanged is "True"
    And the wire's writes is "1"

  Scenario Outline: a stream that breaks the format is refused
    When frames are read from a stream of <content>
    Then the wire's error is "PeerProtocolError wire.receive"

    Examples:
      | content                        |
      | 1 MiB and one byte in a frame  |
      | half a length                  |
      | half a frame                   |

  Scenario: a large message passes in parts
    When frames of a reply of 1100 rows of 4 KB are assembled
    Then the wire's message unchanged is "True"
    And the wire's largest frame is from 60000 to 70000

  Scenario: parts that never end do not fill the memory
    When frames with parts of 64 KiB come without a last one
    Then the wire's error is "PeerProtocolError wire.assemble"
    And the wire's parts accepted is "256"
