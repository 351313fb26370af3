Feature: Requests from a caller to a runner and back
  A request passes through a router and a sidecar to a runner, and the caller
  receives the complete answer.

  Background:
    Given a local fleet

  Scenario: The OpenAI client receives a complete streamed chat
    When a caller streams a chat of 5 answer tokens
    Then the caller has the 5 tokens that only its request yields

  Scenario: The OpenAI client receives a complete buffered chat
    When a caller requests a chat of 4 answer tokens
    Then the caller has the 4 tokens that only its request yields

  Scenario Outline: Each fault of a request has its own code
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
      | a call to an unknown service | 404    | 1004 |

  Scenario: The engine is freed when the caller disconnects
    When a caller disconnects in the middle of a stream
    Then no engine runs a request

  Scenario: A service is reachable through either router
    When a caller refunds 100 to account "a1" through router 1
    Then the balance of account "a1" is -100 through router 2
