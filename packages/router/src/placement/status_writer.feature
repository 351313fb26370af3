Feature: The status of the placement is stored

  Scenario: A status that a restore of the store has lost is written again
    Given a status that was written
    When the same status is written 10 seconds later
    Then the store was written 1 time
    When the store is restored without the status
    And the same status is written 10 seconds later
    Then the store was written 2 times, last as a new object of epoch 1
