Feature: Full engines get no new prompts

  Scenario: A prompt is refused at once while all engines are full
    Given 1 gateways and 2 runners
    And 5 requests wait at all runners
    When 3 prompts are sent
    Then the first 2 are answered by different runners
    And the rest is refused as not run with a time to come back

  Scenario: Prompts are answered again once nothing waits
    Given 1 gateways and 1 runners
    And 5 requests wait at all runners
    When 2 prompts are sent
    And 0 requests wait at all runners
    Then prompts are answered again within 4000 ms

  Scenario: Requests without a prompt are not refused for it
    Given 1 gateways and 1 runners
    And 5 requests wait at all runners
    When 3 requests without a prompt are sent
    Then all of them are answered
