Feature: One write limiter for a process

  Scenario: Money calls go before other writes
    Given a limiter of 100 writes a second whose first interval is spent
    When 5 other writes and then 1 write of a money call wait
    Then the write of the money call runs before the other writes

  Scenario: Writes are kept within the rate
    Given a limiter of 100 writes a second whose first interval is spent
    When 5 other writes and then 1 write of a money call wait
    Then no waiting write has begun in the first interval
