Feature: Retries stay inside their budget

  Scenario: Retries are at most the budget's share of first attempts
    Given a retry budget of 10 percent
    When 1000 first attempts all fail
    Then at most 110 retries were allowed and at least 100

  Scenario: Delays have full jitter below a growing bound
    Then 1000 delays before retry 3 lie in 0 to 200 ms and spread over it

  Scenario: A failing pool is refused at once and probed one at a time
    Given a circuit breaker
    When 20 attempts fail at second 0
    Then the circuit is open at 500 ms
    And exactly 1 of 5 attempts is let through at 1000 ms
    When the probe fails at 1100 ms
    Then the circuit is open at 2000 ms
    When the probe succeeds at 2200 ms
    Then the circuit is closed at 2200 ms

  Scenario: A pool in which some fail stays open for business
    Given a circuit breaker
    When 15 of 30 attempts fail at second 0
    Then the circuit is closed at 500 ms

  Scenario: The limit on silence follows what was observed
    Given a tracker that saw 100 silences of 200 ms
    Then the limit on silence is between 600 and 610 ms under a bound of 1500 ms
    And the limit on silence is 500 ms under a bound of 500 ms

  Scenario: Without observations the configured bound holds
    Given a tracker that saw 3 silences of 200 ms
    Then the limit on silence is 1500 ms under a bound of 1500 ms
