Feature: A planned stop cuts no request

  Background:
    Given a gateway with two callers whose streams have begun
    And a caller with an idle connection

  Scenario: Streams in flight end whole, no connection takes another request
    When the gateway is told to stop
    Then the idle connection is closed
    And the gateway is not ready
    When the runner ends the first stream
    Then the first caller has the whole stream and its connection is closed
    When the runner ends the second stream
    Then the second caller has the whole stream
    And the gateway has stopped
