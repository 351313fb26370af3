Feature: Chats held by a runner other than their home
  The sidecar of a chat's home redirects turns to the runner that holds the
  chat's cache.

  Background:
    Given 4 sidecars of the same pool

  Scenario: The home redirects turns to the holder of a chat
    When a turn runs at rank 2
    Then the home redirects the next turn to rank 2

  Scenario: The holder does not redirect turns
    When a turn runs at rank 2
    Then rank 2 does not redirect the next turn

  Scenario: The home becomes the holder after it has served a turn
    When a turn runs at rank 2
    And a turn runs at rank 0
    Then the home does not redirect the next turn

  Scenario: Turns are not redirected to a holder without headroom
    When a turn runs at rank 2
    And the load of rank 2 rises to 90000 tokens
    Then the home does not redirect the next turn

  Scenario: Turns are not redirected to a holder that has left
    When a turn runs at rank 2
    And rank 2 leaves the pool
    Then the home does not redirect the next turn

  Scenario: No hint is recorded if a turn was refused at a later rank
    Then the home does not redirect the next turn

  Scenario: The hints of a restarted home are restored
    When a turn runs at rank 2
    And all sidecars process the current list of runners
    And the home restarts
    Then the home does not redirect the next turn
    When all sidecars process the current list of runners
    Then the home redirects the next turn to rank 2

  Scenario: A leaving home hands over its hints
    When a turn runs at rank 2
    And the home leaves and processes the changed list of runners
    Then rank 1 redirects the next turn to rank 2
