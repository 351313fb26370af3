Feature: Chats held away from their home
  A chat that was sent elsewhere is found through the sidecar of its home.

  Background:
    Given 4 sidecars of one pool that know each other

  Scenario: The home names the holder of a chat
    When a turn runs at rank 2
    Then the home names rank 2 for the next turn

  Scenario: The holder keeps the chat
    When a turn runs at rank 2
    Then rank 2 names no other runner for the next turn

  Scenario: A chat that has come home stays there
    When a turn runs at rank 2
    And a turn runs at rank 0
    Then the home names no other runner for the next turn

  Scenario: A holder without room is not named
    When a turn runs at rank 2
    And rank 2 comes to carry 90000 tokens
    Then the home names no other runner for the next turn

  Scenario: A holder that has left is not named
    When a turn runs at rank 2
    And rank 2 leaves the pool
    Then the home names no other runner for the next turn

  Scenario: A turn that was refused at a later rank leaves no hint
    Then the home names no other runner for the next turn

  Scenario: A restarted home gets its hints back
    When a turn runs at rank 2
    And all sidecars see which runners there are
    And the home restarts
    Then the home names no other runner for the next turn
    When all sidecars see which runners there are
    Then the home names rank 2 for the next turn

  Scenario: A leaving home hands its hints over
    When a turn runs at rank 2
    And the home leaves and sees which runners are left
    Then rank 1 names rank 2 for the next turn
