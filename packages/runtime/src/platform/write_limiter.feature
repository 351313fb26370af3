Feature: Rate limit of the writes of a process

  Scenario: Writes of money calls run before other writes
    Given a limiter of 100 writes a second whose first interval is used up
    When 5 other writes and then 1 write of a money call wait
    Then the write of the money call runs before the other writes

  Scenario: Writes wait for the next interval when the rate is used up
    Given a limiter of 100 writes a second whose first interval is used up
    When 5 other writes and then 1 write of a money call wait
    Then no waiting write has started in the first interval
