Feature: Cutting a stream at its events

  Scenario: What is cut does not depend on the pieces that arrive
    When random events arrive in random pieces, with seed 39
    Then each piece yields what ends with the last whole event

  # Guards against an event in tiny pieces that is copied and searched whole for
  # each piece, which blocked a gateway for seconds (review/2).
  Scenario: The work for an event without end grows with its bytes
    When 1 MiB of an event arrives in pieces of one byte
    Then less than 4 MiB were searched or concatenated
