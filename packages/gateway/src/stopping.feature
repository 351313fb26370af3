Feature: A planned stop interrupts no request

  Background:
    Given a gateway with two callers whose streams have begun
    And a caller with an idle connection

  Scenario: Streams in flight are completed and their connections closed
    When the gateway starts to stop
    Then the idle connection is closed
    And the gateway is not ready
    When the runner ends the first stream
    Then the first caller has the whole stream and its connection is closed
    When the runner ends the second stream
    Then the second caller has the whole stream
    And the gateway has stopped

  Scenario: No request is accepted on a connection that becomes idle later
    When the gateway starts to stop
    Then the idle connection is closed
    When the runner ends the first stream and its caller sends another request
    Then it is refused as not run or not read and the connection is closed
    And the runner has received no third request
    When the runner ends the second stream
    Then the gateway has stopped

  # Guards against requests whose body arrives late in the grace, which were
  # passed on and cut at its end.
  Scenario: A request whose body arrives only after the listener has closed
    Given a caller that has sent a request but for the end of its body
    When the gateway starts to stop
    Then the idle connection is closed
    When the end of its body arrives
    Then it is refused as not run
    And the runner has received no third request
    When the runner ends the first stream
    And the runner ends the second stream
    Then the gateway has stopped

  # Guards against requests in flight that get no answer at the end of the grace.
  Scenario: Requests that outlast the grace get a final answer
    Given a caller whose request runs without end
    When the gateway starts to stop with a grace of 1 s
    Then it is answered with 504 as "unknown"
    And the gateway has stopped
    And the streams have no proper end

  # Guards against answers that are cut since they were written but not sent
  # (review/3).
  Scenario: Callers that read slowly get their whole answers
    Given a caller that has not read any of its answer of 4000 KiB
    When the gateway starts to stop
    Then the idle connection is closed
    When the runner ends the first stream
    And the runner ends the second stream
    And the caller reads after 300 ms
    Then it gets the whole answer
    And the gateway has stopped
