Feature: The story of a failed request is told from logs alone

  Scenario: A request whose runner died names the runner and its end
    Given a gateway whose runner breaks every stream off
    When a caller's request "a-1" fails
    Then its story has the events "admitted sent attempt-ended"
    And its story tells that the runner was added before
    And its story tells the end "broken" and the step "breakOff"

  Scenario: A request whose key is gone names the version that took it away
    Given a gateway whose runner breaks every stream off
    When key "kiosk-key" is taken away by version 2
    And a caller's request "a-2" with that key fails
    Then its story has the events "refused"
    And its story tells version 2

  Scenario: A request that no runner takes names each refusal
    Given a gateway whose runner refuses every request unrun
    When a caller's request "a-3" fails
    Then its story has the events "admitted sent attempt-ended gave-up"
    And its story tells the end "notRun" and the step "repeat"

  Scenario: A stream that went well is not said to be abandoned
    Given a gateway whose runner ends every stream, with all requests logged
    When a caller's request "a-4" is answered
    Then its story has the events "admitted sent attempt-ended"
    And its story tells the end "relayed" and the step "none"

  Scenario: An id that is in no log is said to be unknown
    Given a gateway whose runner refuses every request unrun
    Then the story of "a-9" is empty
