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

  Scenario: No request is taken on a connection that falls idle late
    When the gateway is told to stop
    Then the idle connection is closed
    When the runner ends the first stream and its caller sends another request
    Then it is refused as not run or not read, and the connection is closed
    And the runner has seen no third request
    When the runner ends the second stream
    Then the gateway has stopped
