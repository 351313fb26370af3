Feature: The platform client notices that the store was restored from a copy

  Background:
    Given a platform client that has an answer of epoch 0

  Scenario Outline: A new epoch is noticed on any answer and told once
    When <answer> states epoch 1
    And a read states epoch 1
    Then the client told "0 to 1"

    Examples:
      | answer                  |
      | a read                  |
      | a read of a lost object |
      | a write                 |
      | a refused write         |
      | a money write           |
      | a limited read          |
      | a failed read           |
      | a list                  |
      | a watch without change  |
      | the host list           |

  Scenario: Each of two restores is told
    When a read states epoch 1
    And a read states epoch 2
    Then the client told "0 to 1, 1 to 2"

  Scenario: A restore that was missed is told with the next one
    When a read states epoch 3
    Then the client told "0 to 3"

  Scenario: The first epoch that a process sees is no restore
    Given a platform client without an answer
    When a read states epoch 3
    Then the client told ""
    And objects are at epoch 3

  Scenario: The answer that states a new epoch counts
    When the store states epoch 1 from now on
    Then objects are at epoch 1

  Scenario: An answer of an earlier epoch that arrives late is dropped
    When a read states epoch 1
    Then a read that states epoch 0 fails with "platformUnavailable"
    And the client told "0 to 1"

  Scenario: Calls that wait for the store before its restore are cancelled
    Given a watch that gets no answer
    And a read whose answer of epoch 0 is not complete
    When a read states epoch 1
    Then the watch and the incomplete read fail with "platformUnavailable"

  Scenario: A write that relies on an earlier epoch says so
    Given an object that was read
    When a read states epoch 1
    And the object is written at the position where it was read
    Then the write has stated that it expects epoch 0

  Scenario: A write that succeeds in another epoch than expected is not confirmed
    Given an object that was read
    Then its write that states epoch 1 fails with "platformUnavailable"
    And its money write that states epoch 1 is lost

  Scenario: A watch after a position that the store lacks gets the object as it is
    Given an object that was read
    When the store was restored and a watch after the object is expired
    Then the watch returns the object of epoch 1

  Scenario: A restored list with the same versions is read again
    Given drains that were read
    When the drains change and the store states epoch 1 with the same versions
    Then the drains are read again
