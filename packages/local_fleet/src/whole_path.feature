Feature: The whole path
  A caller's request passes a router and a sidecar to a runner, and the whole
  answer comes back.

  Background:
    Given a local fleet

  Scenario: A streamed chat arrives whole through the OpenAI client
    When a caller streams a chat of 5 answer tokens
    Then the caller has the 5 tokens that only its request yields

  Scenario: A chat without streaming arrives whole
    When a caller asks for a chat of 4 answer tokens
    Then the caller has the 4 tokens that only its request yields

  Scenario Outline: Each fault of a request has its own clear answer
    When a caller sends <fault>
    Then the answer has status <status>, code <code> and executed "no"

    Examples:
      | fault                        | status | code |
      | a chat without a key         | 401    | 1002 |
      | a chat with a wrong key      | 401    | 1002 |
      | a chat that is not JSON      | 400    | 1001 |
      | a chat without messages      | 400    | 1001 |
      | a chat for an unknown model  | 404    | 1003 |
      | a chat with a bad deadline   | 400    | 1006 |
      | a chat that is too large     | 413    | 1005 |
      | a call of an unknown service | 404    | 1004 |

  Scenario: A caller that goes away frees the engine
    When a caller leaves in the middle of a stream
    Then no engine runs a request

  Scenario: A plain service is reached through either router
    When a caller refunds 100 to account "a1" through router 1
    Then the balance of account "a1" is -100 through router 2
