Feature: Retry budget, backoff, circuit breaker and silence limits

  Scenario: Retries are limited to a share of the first attempts
    Given a retry budget of 10 percent
    When 1000 first attempts all fail
    Then at most 110 retries were allowed and at least 100

  Scenario: Backoff delays have full jitter below an exponential bound
    Then 1000 delays before retry 3 lie between 0 and 200 ms and average half of it

  Scenario: An open circuit refuses attempts and later admits one probe at a time
    Given a circuit breaker
    When 20 attempts fail at second 0
    Then the circuit is open at 500 ms
    And exactly 1 of 5 attempts is admitted at 1000 ms
    When the probe fails at 1100 ms
    Then the circuit is open at 2000 ms
    When the probe succeeds at 2200 ms
    Then the circuit is closed at 2200 ms

  Scenario: The circuit stays closed when only some attempts fail
    Given a circuit breaker
    When 15 of 30 attempts fail at second 0
    Then the circuit is closed at 500 ms

  Scenario: The silence limit follows the observed silences
    Given a tracker with 100 silences of 200 ms
    Then the silence limit is between 600 and 610 ms under a bound of 1500 ms
    And the silence limit is 500 ms under a bound of 500 ms

  Scenario: With too few observations the configured bound applies
    Given a tracker with 3 silences of 200 ms
    Then the silence limit is 1500 ms under a bound of 1500 ms
