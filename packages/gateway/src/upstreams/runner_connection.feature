Feature: Connections to runners share the event loop

  # Guards against answers without end from forty runners that keep the event
  # loop from all other connections.
  Scenario: An answer waits while the work of a turn is used up
    Given a connection to a runner, in a turn whose work is used up
    When the runner sends the answer "late"
    Then nothing of it is read in this turn
    And the answer "late" is complete in the next turn

  Scenario: An answer that waited is not lost when the runner resets
    Given a connection to a runner, in a turn whose work is used up
    When the runner sends the answer "late"
    Then nothing of it is read in this turn
    When the runner resets the connection
    Then the answer "late" is complete

  Scenario: A slow caller is not sent more after a turn
    Given a connection to a runner, in a turn whose work is used up
    When the runner sends the answer "late" in two parts while the caller is slow
    Then only the part that had arrived before is read in the next turn
    When the caller has read what it was sent
    Then the answer "late" is complete

  # Guards against a request that runs long after it was given up, when the
  # network delivers what it held up (review/4).
  Scenario: A connection with a request in flight is reset when it is destroyed
    Given a connection to a runner, in a turn whose work is used up
    When the connection is destroyed
    Then the runner notices a reset

  # Guards against a kept connection that is never read again, since the caller of
  # an earlier request was slow when its answer ended (review/7).
  Scenario: A pause for a slow caller ends with the answer
    Given a connection to a runner, in a turn whose work is used up
    And its caller is slow
    When the runner sends the answer "first"
    Then the answer "first" is complete in the next turn
    When another caller, who is not slow, sends a request on the connection
    And the runner sends the answer "second"
    Then the answer "second" is complete in the next turn
