Feature: A stall of the event loop does not end what has been answered in time

  Scenario: Bytes that arrived in a stall are read before a timeout is handled
    Given a connection whose other end sends a byte at the start of a stall of 200 ms
    When a timeout of 100 ms falls due in the stall
    Then the byte is read before the timeout is handled

  Scenario: An answer that went on in a stall is not aborted
    Given a connection whose other end sends a byte at the start of a stall of 200 ms
    When a limit of 100 ms on pauses is exceeded in the stall
    Then the answer is not aborted

  Scenario: A timeout that is disposed of in a stall is not handled
    Given a connection whose other end sends a byte at the start of a stall of 200 ms
    When a timeout of 100 ms falls due in the stall and the byte disposes of it
    Then the timeout is not handled
