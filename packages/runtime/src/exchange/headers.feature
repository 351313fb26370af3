Feature: Headers between processes

  Scenario: A formatted envelope parses to the same envelope
    Then envelopes from seed 31 survive formatting and parsing

  Scenario: A caller's headers with the fleet's prefix are never forwarded
    Then headers with the fleet's prefix from seed 33 are not copied

  Scenario: Malformed headers cause only errors with a code
    Then headers from seed 32 make the parser throw only errors with a code
