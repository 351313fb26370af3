Feature: A planned stop cuts no request

  Background:
    Given a gateway with a caller whose stream has begun
    And a caller with an idle connection

  Scenario: The stream in flight ends whole, no idle connection takes another
    When the gateway is told to stop
    Then the idle connection is closed
    And the gateway is not ready
    When the runner ends the stream
    Then the caller has the whole stream
    And the gateway has stopped
