Feature: Stopping a listener
  A stopping listener finishes its open requests and waits for nothing else.

  Scenario: A connection that never sent a request does not delay the stop
    Given a listener with a connection that has sent nothing
    When the listener stops
    Then it has stopped and the connection is closed

  Scenario: An open request is finished
    Given a listener with an open request
    When the listener stops and the request is answered
    Then the caller has the answer
