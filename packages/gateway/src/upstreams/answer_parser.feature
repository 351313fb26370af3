Feature: Parsing answers

  Scenario: Answers in chunks are read alike however they are split
    When 300 random answers in chunks arrive in random pieces, with seed 39
    Then each body is whole and its answer complete

  # Guards against a parser that hands over a part of a body for each chunk, so
  # that whatever handles them costs more the smaller the chunks are (review/1,
  # review/2).
  Scenario: A body in chunks of one byte is handed over once for each read
    When a body of 10000 chunks of one byte arrives in 3 reads
    Then parts of a body are handed over 3 times

  Scenario Outline: A malformed chunk is refused
    When a body in chunks begins with "<bytes>"
    Then the parser refuses it

    Examples:
      | bytes           |
      | x\r\n           |
      | \r\n            |
      | 123456789\r\n   |
      | 1 2\r\n         |
      | 1\rx            |
      | 1\r\nab\r\n     |
      | 1\r\na\rb       |
