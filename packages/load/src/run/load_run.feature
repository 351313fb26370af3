Feature: Sending load

  Scenario: A sound fleet shows no violation
    Given a local fleet
    When a short mixed load is sent to it
    Then every call of the load is answered and no promise is broken

  Scenario: A server that gives callers the answers of others is found out
    Given a server that answers each chat with the tokens of another
    When a short load of chats is sent to it
    Then the load shows a violation of "own-whole-answer"

  Scenario: An answer without its end mark is not taken for whole
    Given a server that cuts each stream short
    When a short load of chats is sent to it
    Then no call of the load is answered and no promise is broken

  Scenario: Waiting in the load tool counts as latency
    When a request that was due at 0 ms is sent at 900 ms and answered at 1000 ms
    Then its latency is 1000 ms

  Scenario: Other machines are not loaded unawares
    Then a scenario with target "10.0.0.1:80" is refused
    And a scenario with target "127.0.0.1:80" is not refused

  Scenario: The example scenarios are valid
    Then the scenarios "local", "vozikovy" and "lanternway" are valid

  Scenario: A seed gives the same arrivals at the declared rate
    Then the arrivals of seed 5 are the same twice and 200 a second

  Scenario: A stream is read alike however it is cut into pieces
    Then streams cut at random by seed 6 give the same outcome

  Scenario: No stream makes the reader throw
    Then no stream from seed 8 makes the reader throw
