Feature: Streams are whole or say that they are not
  Connections go silent, break or bring the answer of another request, engines
  stall, runners are lost. The caller gets its own whole answer, or an error
  that says what happened.

  Background:
    Given a local fleet with links before its sidecars

  Scenario Outline: A stream survives <fault>
    When a caller streams 40 tokens and <fault> after 10 of them
    Then the caller has all 40 tokens, each once, and the end mark
    And router 1 has counted "<counter>"

    Examples:
      | fault                            | counter         |
      | all connections go silent        | answers-resumed |
      | all connections are cut          | answers-resumed |
      | the runner of the stream is lost | streams-moved   |

  Scenario Outline: A stream survives an engine that <fault>
    Given each engine <fault> after 7 tokens of its next request
    When a caller streams 20 tokens
    Then the caller has all 20 tokens, each once, and the end mark
    And a sidecar has counted "engine-streams-resumed"

    Examples:
      | fault  |
      | stalls |
      | cuts   |

  Scenario: A stream without any runner left ends with an error event
    When a caller streams 40 tokens and all runners are lost after 10 of them
    Then the stream ends with an error event and no end mark

  Scenario: An answer that belongs to another request is dropped
    Given the links replace the attempt of the next answer
    When a caller streams 20 tokens
    Then the caller has all 20 tokens, each once, and the end mark
    And router 1 has counted "answers-mismatched"

  Scenario: A stream whose bytes came twice has no end mark
    Given the links bring the 5th piece of the next answer twice
    When a caller streams 20 tokens
    Then the stream ends with an error event and no end mark

  Scenario: A request that never reached its runner is told as not run
    Given the links lose the next request
    When a caller refunds 5 to account "lost" without a key
    Then account "lost" has been refunded 5 once

  Scenario: A chat whose runner fails is answered by another
    Given 2 of the engines refuse every request
    When a caller streams 8 chats of 5 tokens one after the other
    Then each of the 8 chats is whole
