Feature: A request is traced from log lines alone

  Scenario: A broken stream is traced with its runner and the end
    Given a gateway whose runner breaks off every stream
    When a caller's request "a-1" fails
    Then its trace has the events "admitted sent attempt-ended"
    And its trace includes the addition of the runner
    And its trace has the end "broken" and the step "breakOff"

  Scenario: A refused key is traced with the version that removed it
    Given a gateway whose runner breaks off every stream
    When key "kiosk-key" is removed by version 2
    And a caller's request "a-2" with that key fails
    Then its trace has the events "refused"
    And its trace includes version 2

  Scenario: A request that every runner refuses is traced with the refusals
    Given a gateway whose runner refuses every request without running it
    When a caller's request "a-3" fails
    Then its trace has the events "admitted sent attempt-ended gave-up"
    And its trace has the end "notRun" and the step "repeat"

  Scenario: A completed stream is not traced as cancelled
    Given a gateway whose runner ends every stream, with all requests logged
    When a caller's request "a-4" is answered
    Then its trace has the events "admitted sent attempt-ended"
    And its trace has the end "relayed" and the step "none"

  Scenario: An attempt id that no log contains has an empty trace
    Given a gateway whose runner refuses every request without running it
    Then the trace of "a-9" is empty
