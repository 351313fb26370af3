Feature: Engine model
  The stand-in engine batches, caches and lags as real engines do, so that
  policies show in measurements.

  Background:
    Given an engine model with 64 KV blocks

  Scenario: A cached prefix shortens the first token
    When chat "a" of 32 blocks is generated
    And chat "a" of 32 blocks is generated again
    Then the second first token comes sooner
    And the second generation has 511 cached tokens

  Scenario: Limited memory forgets the least recently used prefix
    When chat "a" of 32 blocks is generated
    And chat "b" of 32 blocks is generated
    And chat "c" of 32 blocks is generated
    Then the engine holds nothing of chat "a"

  Scenario: A larger batch slows the tokens of all
    Then the time between tokens with 16 sequences is above that with 1

  Scenario: A higher class starts first
    When the batch is full and two classes wait
    Then the higher class starts before the lower one

  Scenario: Cancelling frees the batch
    When a running generation is cancelled
    Then the engine is idle and yields no further token

  Scenario: A resumed generation sends only what is missing
    When a generation of 8 tokens is resumed at offset 5
    Then it yields the tokens 5 to 7

  Scenario: Imported blocks count as cached once they have arrived
    When the blocks of chat "a" are imported
    Then chat "a" finds them only after the transfer

  Scenario: Cache events are late and have gaps
    When an engine loses a third of its cache events with seed 7
    Then some numbers are missing and none is readable early

  Scenario: Load reports lag
    When a generation runs for a while
    Then the load report is an older state of the engine

  Scenario: Some engines check fencing numbers and some do not
    Then an order with an old fencing number is refused only where checked

  Scenario: Weights come at the rate of the store
    When two engines load a model at once
    Then the second is ready one transfer later than the first

  Scenario: Memory holds under any work
    Then random work of seed 11 never exceeds memory and ends idle
