Feature: Codecs of messages and stored objects

  Scenario Outline: A malformed <message> is refused with a result code
    Then no bytes from seed <seed> make the decoder of a "<message>" throw without a result code

    Examples:
      | message         | seed |
      | digest          | 41   |
      | answer record   | 42   |
      | journal head    | 43   |
      | journal segment | 44   |
      | idempotency key | 45   |
      | lease           | 46   |
      | declaration     | 47   |
