Feature: Headers between processes

  Scenario: An envelope is read as it was written
    Then envelopes from seed 31 survive formatting and parsing

  Scenario: The fleet's own headers of a caller are never passed on
    Then headers with the fleet's prefix from seed 33 are not copied

  Scenario: No headers make the reader throw anything but a coded error
    Then no headers from seed 32 make the reader throw an uncoded error
