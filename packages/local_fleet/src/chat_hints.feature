Feature: Chats whose cache is held by a runner other than their home
  The next turn of a chat goes to the runner that holds its cache.

  Scenario: The home redirects a turn to the holder
    Given a local fleet
    When each assistant runner in turn claims a chat
    Then the holder answers each of its turns, and all but one were redirected
