Feature: Requests that a gateway reads late

  Background:
    Given a gateway with one runner, and 20 callers that have connected

  Scenario: Callers that left while the gateway stalled
    When all send a request and leave while the gateway stalls for 700 ms
    Then at most 3 requests have reached the runner 300 ms later

  Scenario: Callers that still wait after a stall of the gateway
    When all send a request and wait while the gateway stalls for 700 ms
    Then all are answered

  Scenario: Requests without a stall are sent on at once
    When each of them sends a request, one after the other
    Then all are answered
    And the gateway deferred none of them
