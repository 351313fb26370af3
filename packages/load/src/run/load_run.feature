Feature: Sending load

  Scenario: A correct fleet shows no violations
    Given a local fleet
    When a short mixed load is sent to it
    Then every call of the load is answered and no check is violated

  Scenario: Answers that belong to other callers are detected
    Given a server that answers each chat with the tokens of another
    When a short load of chats is sent to it
    Then the load shows a violation of "own-whole-answer"

  Scenario: A stream without an end mark does not count as answered
    Given a server that truncates each stream
    When a short load of chats is sent to it
    Then no call of the load is answered and no check is violated

  Scenario: Queueing in the load tool counts as latency
    When a request that was due at 0 ms is sent at 900 ms and answered at 1000 ms
    Then its latency is 1000 ms

  Scenario: Remote targets are refused by default
    Then a scenario with target "10.0.0.1:80" is refused
    And a scenario with target "127.0.0.1:80" is not refused

  Scenario: The example scenarios are valid
    Then the scenarios "local", "vozikovy" and "lanternway" are valid

  Scenario: A seed gives the same arrivals at the declared rate
    Then the arrivals of seed 5 are reproducible and 200 per second

  Scenario: The outcome of a stream does not depend on its chunks
    Then streams split at random by seed 6 have the same outcome

  Scenario: No stream makes the reader throw
    Then no stream from seed 8 makes the reader throw
