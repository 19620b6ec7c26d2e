Feature: The matrix checker reports the violations that defects cause
  If the checker never reported anything, a matrix without findings would prove nothing.

  Scenario Outline: a violation of promise <promise> is reported for the defect "<defect>"
    When the matrix trials of the defect "<defect>" run
    Then the matrix checker reports "<report>" for promise <promise>

    Examples:
      | promise | defect                                | report          |
      | 1       | lease expiry not waited for           | two-owners      |
      | 1       | release not waited for                | two-owners      |
      | 2       | first assignment without reading rows | assignment-lost |
      | 3       | one record for all requests           | foreign-answer  |
      | 4       | unknown reported as not run           | not-run-but-ran |
      | 5       | records not replicated                | run-twice       |
      | 6       | leaving upstream not drained          | late-work       |
      | 7       | stop without waiting                  | cut-by-stop     |
      | 8       | lower versions accepted               | config-reverted |
