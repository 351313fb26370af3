Feature: At-most-once calls when the store is restored from a copy
  A key that ran in the time that the store has lost is never run again.

  Background:
    Given a journal and the sidecars "one" and "two"

  Scenario: A live owner writes again what was lost
    Given "one" owns the shard
    And the journal is copied
    When a call with key "k1" arrives at "one"
    And the answer "refunded" of the runner is recorded
    And the journal is restored from the copy
    And "one" notices and "two" takes over after a crash of "one"
    And a call with key "k1" arrives at "two"
    Then the last answer is "refunded", stored
    And key "k1" was dispatched at most 1 time

  Scenario: A live owner goes on
    Given "one" owns the shard
    And the journal is copied
    When a call with key "k1" arrives at "one"
    And the answer "refunded" of the runner is recorded
    And the journal is restored from the copy
    And a call with key "k1" arrives at "one"
    Then the last answer is "refunded", stored
    When a call with key "k2" arrives at "one"
    And 10 seconds pass at the ledger
    Then "one" has dispatched key "k2" 1 time

  Scenario: An intent that was lost with its owner is unknown and never runs again
    Given "one" owns the shard
    And the journal is copied
    When a call with key "k1" arrives at "one"
    And the answer "refunded" of the runner is recorded
    And "one" crashes before it notices that the journal is restored
    And "two" takes over
    And a call with key "k1" arrives at "two"
    Then the last answer is refused as outcomeUnknown with executed "unknown"
    And key "k1" was dispatched at most 1 time

  Scenario: An untimed key that was lost with its owner never runs again
    Given "one" owns the shard
    And the journal is copied
    When a call with the key "k1" without an issue time arrives at "one"
    And the answer "refunded" of the runner is recorded
    And "one" crashes before it notices that the journal is restored
    And "two" takes over
    And a call with the key "k1" without an issue time arrives at "two"
    Then the last answer is refused as outcomeUnknown with executed "unknown"
    And key "k1" was dispatched at most 1 time

  Scenario: An untimed key stays unknown when the next owner is lost, too
    Given a journal and the sidecars "one", "two" and "three"
    And "one" owns the shard
    And the journal is copied
    When a call with the key "k1" without an issue time arrives at "one"
    And the answer "refunded" of the runner is recorded
    And "one" crashes before it notices that the journal is restored
    And "two" takes over
    And "two" crashes after the outcome is written
    And "three" takes over
    And a call with the key "k1" without an issue time arrives at "three"
    Then the last answer is refused as outcomeUnknown with executed "unknown"
    When "three" leaves the shard
    And a call with the key "k2" without an issue time arrives at "three"
    Then the last answer is refused as runnerLeaving with executed "unknown"

  Scenario: The first owner of a shard is lost with its head
    Given the journal is copied
    And "one" owns the shard
    When a call with key "k1" arrives at "one"
    And the answer "refunded" of the runner is recorded
    And "one" crashes before it notices that the journal is restored
    And "two" owns the shard
    And a call with key "k1" arrives at "two"
    Then the last answer is refused as outcomeUnknown with executed "unknown"
    And key "k1" was dispatched at most 1 time

  Scenario: A former owner that the copy names does not go on with what it knew
    Given "one" owns the shard
    And the journal is copied
    When "one" is paused
    And "two" takes over
    And a call with key "k1" arrives at "two"
    And the answer "refunded" of the runner is recorded
    And "two" crashes before it notices that the journal is restored
    And "one" resumes
    And 10 seconds pass at the ledger
    And a call with key "k1" arrives at "one"
    And 1 seconds pass at the ledger
    Then key "k1" was dispatched at most 1 time

  Scenario: Two restores in a row
    Given "one" owns the shard
    And the journal is copied
    When a call with key "k1" arrives at "one"
    And the answer "refunded" of the runner is recorded
    And the journal is restored from the copy
    And 10 seconds pass at the ledger
    And a call with key "k2" arrives at "one"
    And the answer "refunded" of the runner is recorded
    And the journal is restored from the copy
    And "one" notices and "two" takes over after a crash of "one"
    And a call with key "k1" arrives at "two"
    Then the last answer is "refunded", stored
    When a call with key "k2" arrives at "two"
    Then the last answer is "refunded", stored

  Scenario: Keys that are issued long after the restore run
    Given "one" owns the shard
    And the journal is copied
    When "one" crashes before it notices that the journal is restored
    And "two" takes over
    And 70 seconds pass at the ledger
    And a call with key "k1" arrives at "two"
    And a call with the key "k2" without an issue time arrives at "two"
    And 1 seconds pass at the ledger
    Then "two" has dispatched key "k1" 1 time
    And "two" has dispatched key "k2" 1 time

  Scenario: A live owner writes the keys of its segments again
    Given a history of 3600 seconds and 4096 entries
    And "one" owns the shard
    And the journal is copied
    When 60 calls with large answers are answered by "one"
    Then the journal has segments
    When the journal is restored from the copy
    And "one" notices and "two" takes over after a crash of "one"
    And the first of these calls is sent again to "two"
    Then the last answer is a large one, stored

  Scenario: Segments that the copy refers to stay until the head is written again
    Given a history of 3600 seconds and 4096 entries
    And "one" owns the shard
    When 60 calls with large answers are answered by "one"
    And the journal is copied
    And 60 calls with large answers are answered by "one"
    And the journal is restored from the copy
    Then the stored head refers to segments as they stand for 10 seconds
