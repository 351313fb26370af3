Feature: Engine stand-in
  The stand-in engine speaks the OpenAI-compatible protocol, takes orders, and
  fails when it is told to.

  Background:
    Given an engine stand-in

  Scenario: A returning chat is charged for its new part only
    When the same long chat is asked twice
    Then the second usage counts cached tokens

  Scenario: A stream resumes at a token offset
    When the last 3 of 8 answer tokens are asked for
    Then the stream has exactly those 3 tokens and the end mark

  Scenario: A running stream is cancelled by its id
    When a stream of 10000 tokens is cancelled by its id
    Then the engine stand-in is idle

  Scenario Outline: Each fault shows as itself
    When the engine is told to <fault>
    Then a stream of 4 tokens <effect>

    Examples:
      | fault                       | effect                 |
      | refuse                      | is refused as not run  |
      | fail before the first byte  | breaks without a head  |
      | cut after 2 tokens          | breaks after 2 tokens  |
      | stall after 2 tokens        | is silent after 2 tokens |

  Scenario: KV blocks move from one engine to another
    When a chat's blocks are exported and imported by a second engine
    Then the second engine finds the chat cached

  Scenario: Orders change what an engine serves
    When the engine is ordered to load model "other"
    Then it serves model "other" and reports its fencing number
