Feature: Frames
  Frames arrive whole and in order, however the bytes are cut up on the way.

  Scenario: frames arrive whole when the stream delivers a few bytes at a time
    Given frames of 0, 1, 5000 and 65541 bytes
    When the frames are sent and arrive in pieces of 1 to 700 bytes
    Then the frames received are those sent
    And the frames were sent in one write

  Scenario Outline: a stream that breaks the format is refused
    When the frames stream delivers <content>
    Then the frames stream raises a protocol error

    Examples:
      | content                            |
      | a length of 1 MiB and one byte     |
      | half a length                      |
      | half a frame                       |

  Scenario: a large message passes in parts
    Given a reply of 1100 rows of 4 KB
    When the frames of the message are assembled
    Then no frame is larger than 70000 bytes and the message is unchanged

  Scenario: parts that never end do not fill the memory
    When parts of 64 KiB without a last one are assembled
    Then the assembler raises a protocol error within 16 MiB
