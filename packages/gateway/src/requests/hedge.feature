Feature: A lookup that is late is tried at another runner

  Background:
    Given a gateway that may hedge each request and a runner "first"
    And a runner "second"

  Scenario: The second runner answers first, and the first attempt is cancelled
    Given both runners answer "12"
    When 40 lookups are answered
    And lookups stay unanswered by their first runner until one is hedged
    Then the caller gets status 200 and "second" with the runner's mark
    And the connection of the late attempt is closed
    And the late runner counts as failing for a while
    And the lines of the request name a hedge that won
    And the dump counts its requests and hedges

  Scenario: A hedge that loses leaves no trace with the caller
    Given both runners answer "12"
    When 40 lookups are answered
    And lookups are answered by their first runner once another has them, until one is hedged
    Then the caller gets status 200 and "first" with the runner's mark
    And the connection of the losing hedge is closed
    And the lines of the request name a hedge that lost
    When both runners answer "34" again
    Then a further lookup on the caller's connection is answered "34" alone

  Scenario: A request that is not idempotent is never hedged
    Given both runners answer "12"
    When 40 payouts are answered
    And a payout is answered after 300 ms
    Then 41 requests reached runners
    And no request was hedged or refused a hedge

  Scenario: Nothing is hedged once the settings say so
    Given both runners answer "12"
    When 40 lookups are answered
    And the settings are reloaded without hedging
    And a lookup stays unanswered by its first runner
    Then no request was hedged or refused a hedge since
