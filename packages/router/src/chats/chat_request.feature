Feature: Reading the bodies of chats

  Scenario: No body makes the reader throw anything but a coded error
    Then no chat body from seed 21 makes the router throw an uncoded error

  Scenario: A body of any depth is refused or read
    Then a chat body nested 100000 levels deep is refused with code 1001
    And a chat body nested 50 levels deep is read
