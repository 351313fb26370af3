Feature: Requests that a gateway reads late

  Background:
    Given a gateway with one runner, and 20 callers that have connected

  Scenario: Callers that left while the gateway stalled
    When all send a request and leave while the gateway stalls for 700 ms
    Then at most 3 requests have reached the runner 300 ms later

  Scenario: Callers that left during a long turn of the event loop
    When all send a request and leave while the gateway stalls for 200 ms
    Then at most 3 requests have reached the runner 300 ms later

  Scenario: Callers that left before their connections were accepted
    When 60 more callers connect, send a request and leave while each turn of the event loop takes 10 ms
    Then at most 3 requests have reached the runner 300 ms later

  Scenario: Callers that left while a runner refused their requests
    Given the runner has answered all at once, and a second one has their next requests
    When the second runner refuses all and the callers leave while the gateway stalls for 700 ms
    Then at most 23 requests have reached the runner 300 ms later

  Scenario: Callers that still wait after a stall of the gateway
    When all send a request and wait while the gateway stalls for 700 ms
    Then all are answered

  Scenario: Requests without a stall are sent on at once
    Given the gateway has learned from another one what it missed
    When each of them sends a request, one after the other
    Then all are answered
    And none of them has waited for a timer
