Feature: Collecting bytes that arrive in pieces

  Scenario: The bytes are whole and in order, whatever the pieces
    When bytes are collected in random pieces, with seed 39
    Then what is taken is what was appended

  # Guards against an answer in tiny pieces that is kept as one object a piece
  # until the process reaches its heap limit (review/1).
  Scenario: Memory follows the bytes, not the number of pieces
    When 4 MiB are collected in pieces of one byte
    Then they occupy at most 8 MiB
