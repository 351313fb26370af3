Feature: Chats that are held away from their home
  A returning chat goes to the runner that holds its cache.

  Scenario: The home sends a chat to its holder
    Given a local fleet
    When each assistant runner in turn is told to be the holder of a chat
    Then the holder answers each of its turns, and all but one were redirected
