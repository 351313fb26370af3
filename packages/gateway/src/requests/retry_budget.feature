Feature: A reload of the settings neither empties nor renews the retry budget

  Scenario: A stream that breaks off just after a reload resumes
    Given a gateway with a budget of 0.2 retries per request plus 0 and a runner "first"
    And a runner "second"
    And both runners answer "done"
    When 60 lookups are answered
    And the settings are reloaded
    And the first runner tried breaks off in event 3, the other resumes
    And a caller sends "/story/1"
    Then the caller gets events "1 2 3 4" once each and a proper end

  Scenario: Retries before a reload count after it
    Given a gateway with a budget of 0 retries per request plus 72 and a runner "first"
    And a runner "second"
    And runner "first" answers "500 Failed" with "no"
    And runner "second" answers "500 Failed" with "no"
    When 10 lookups are answered
    And the settings are reloaded
    And 10 lookups are answered
    Then 22 requests reached runners
