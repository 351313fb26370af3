Feature: Engine model
  The engine model simulates batching, caching and reporting delays of real
  engines, so that measurements show the effect of scheduling policies.

  Background:
    Given an engine model with 64 KV blocks

  Scenario: A cached prefix shortens the time to the first token
    When chat "a" of 32 blocks is generated
    And chat "a" of 32 blocks is generated again
    Then the second generation has a shorter time to the first token
    And the second generation has 511 cached tokens

  Scenario: The least recently used prefix is evicted
    When chat "a" of 32 blocks is generated
    And chat "b" of 32 blocks is generated
    And chat "c" of 32 blocks is generated
    Then the engine caches no block of chat "a"

  Scenario: A larger batch slows down all its sequences
    Then tokens are further apart with 16 sequences than with 1

  Scenario: A higher priority starts first
    When the batch is full and requests of two priorities wait
    Then the higher priority starts before the lower one

  Scenario: Cancelling frees the batch
    When a running generation is cancelled
    Then the engine is idle and generates no further token

  Scenario: A resumed generation sends only the missing tokens
    When a generation of 8 tokens is resumed at offset 5
    Then it generates the tokens 5 to 7

  Scenario: Imported blocks are cached once the transfer is complete
    When the blocks of chat "a" are imported
    Then the blocks of chat "a" are cached only after the transfer

  Scenario: Cache events are delayed and have gaps
    When an engine loses a third of its cache events with seed 7
    Then some sequence numbers are missing and no event is readable early

  Scenario: Load reports are delayed
    When a generation runs for a while
    Then the load report shows an earlier load of the engine

  Scenario: Some engines check fencing numbers and some do not
    Then an order with a stale fencing number is refused only if checked

  Scenario: Engines share the rate of the weight store
    When two engines load a model at the same time
    Then the second is ready one transfer later than the first

  Scenario: Random requests stay within the memory limit
    Then random requests of seed 11 never exceed memory and leave no work
