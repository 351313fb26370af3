Feature: A stream is complete or ends with an error
  Connections go silent, break or carry the answer to another request, engines
  stall and runners are lost. The caller gets its own complete answer, or an
  error that says what happened.

  Background:
    Given a local fleet with fault links in front of its sidecars

  Scenario Outline: A stream completes although <fault>
    When a caller streams 40 tokens and <fault> after 10 of them
    Then the caller has all 40 tokens, each once, and the end mark
    And router 1 has counted "<counter>"

    Examples:
      | fault                            | counter         |
      | all connections go silent        | answers-resumed |
      | all connections are cut          | answers-resumed |
      | the runner of the stream is lost | streams-moved   |

  Scenario Outline: A stream completes although an engine <fault>
    Given each engine <fault> after 7 tokens of its next request
    When a caller streams 20 tokens
    Then the caller has all 20 tokens, each once, and the end mark
    And a sidecar has counted "engine-streams-resumed"

    Examples:
      | fault  |
      | stalls |
      | cuts   |

  Scenario: A stream ends with an error event when no runner is left
    When a caller streams 40 tokens and all runners are lost after 10 of them
    Then the stream ends with an error event and no end mark

  Scenario: An answer to another request is dropped
    Given the links replace the attempt id of the next answer
    When a caller streams 20 tokens
    Then the caller has all 20 tokens, each once, and the end mark
    And router 1 has counted "answers-mismatched"

  Scenario: A stream with duplicated bytes has no end mark
    Given the links duplicate the 5th chunk of the next answer
    When a caller streams 20 tokens
    Then the stream ends with an error event and no end mark

  Scenario: A lost request is reported as not run and retried
    Given the links drop the next request
    When a caller refunds 5 to account "lost" without a key
    Then account "lost" has been refunded 5 once

  Scenario: A chat whose runner fails is answered by another
    Given 2 of the engines refuse every request
    When a caller streams 8 chats of 5 tokens or more in sequence
    Then each of the 8 chats is complete
