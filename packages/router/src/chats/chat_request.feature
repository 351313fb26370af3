Feature: Parsing of chat request bodies

  Scenario: Every invalid body is refused with a coded error
    Then no chat body from seed 21 makes the router throw an uncoded error

  Scenario: Deeply nested bodies are refused, others are parsed
    Then a chat body nested 100000 levels deep is refused with code 1001
    And a chat body nested 50 levels deep is parsed
