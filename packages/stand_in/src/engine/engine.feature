Feature: Engine stand-in
  The stand-in engine serves the OpenAI-compatible API, executes orders and
  simulates injected faults.

  Background:
    Given an engine stand-in

  Scenario: A repeated chat is served from the prefix cache
    When the same long chat is requested twice
    Then the second usage reports cached tokens

  Scenario: A stream resumes at a token offset
    When the last 3 of 8 answer tokens are requested
    Then the stream has exactly those 3 tokens and the end marker

  Scenario: A running stream is cancelled by its id
    When a stream of 10000 tokens is cancelled by its id
    Then the engine stand-in is idle

  Scenario Outline: An injected fault has its effect on a stream
    When the engine has the fault "<fault>"
    Then a stream of 4 tokens <effect>

    Examples:
      | fault                      | effect                          |
      | refuse                     | is refused as not run           |
      | fail before the first byte | breaks without response headers |
      | cut after 2 tokens         | breaks after 2 tokens           |
      | stall after 2 tokens       | stalls after 2 tokens           |

  Scenario: KV blocks are transferred to another engine
    When a chat's blocks are exported and imported by a second engine
    Then the second engine finds the chat cached

  Scenario: Orders change what an engine serves
    When the engine is ordered to load model "other"
    Then it serves model "other" and reports its fencing number
