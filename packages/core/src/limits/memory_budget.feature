Feature: Memory that many holders share

  Scenario: The largest holder gives up its memory when the budget is exceeded
    Given a memory budget of 100 bytes
    And holders "a", "b" and "c" that use 10, 60 and 20 bytes
    When "c" uses 40 bytes
    Then "b" is evicted
    And the holders use 50 bytes

  Scenario: A holder that grows without end is evicted itself
    Given a memory budget of 100 bytes
    And holders "a", "b" and "c" that use 10, 20 and 20 bytes
    When "c" uses 90 bytes
    Then "c" is evicted
    And the holders use 30 bytes

  Scenario: A holder that is retained is not evicted
    Given a memory budget of 100 bytes
    And holders "a", "b" and "c" that use 10, 60 and 20 bytes
    And "b" is retained
    When "c" uses 40 bytes
    Then "c" is evicted
    And the holders use 70 bytes

  Scenario: Memory that was given back counts no more
    Given a memory budget of 100 bytes
    And holders "a", "b" and "c" that use 10, 60 and 20 bytes
    When "b" ends
    And "c" uses 90 bytes
    Then no holder is evicted
    And the holders use 100 bytes
