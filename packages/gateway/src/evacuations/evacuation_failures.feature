Feature: Evacuations and cold runners while something fails

  Scenario: The store turns away half of the gateways as an entry is written
    Given 4 gateways that follow evacuations, of which the store turns away 2
    When an operator evacuates "a"
    Then all gateways know that "a" is evacuated
    When the operator takes "a" back
    Then all gateways know that none is evacuated

  Scenario Outline: A gateway is frozen while entries are written
    Given 1 gateways that follow evacuations, of which the store turns away 0
    When the gateway hears nothing more
    And an operator evacuates "a"
    And the operator takes "a" back
    And an operator evacuates "a"
    And an operator evacuates "b"
    And the operator takes "b" back
    And the gateway goes on, <when> history of the store
    Then all gateways know that "a" is evacuated

    Examples:
      | when        |
      | within the  |
      | beyond the  |

  Scenario: An attempt waits for its connection while its runner is evacuated
    Given an attempt that waits for a connection to a runner
    When its runner is evacuated before it is open
    Then the attempt is withdrawn, to be placed again
    And the runner has received no request

  Scenario: A cold runner restarts with its old id
    Given 1 gateways that follow evacuations, of which the store turns away 0
    And a runner "r1" that has been up for long, and a limit of 3 requests a second while cold
    When 10 requests are sent to "r1"
    And "r1" restarts with its id, cold
    And 10 requests are sent to "r1"
    Then the new process of "r1" has received at most 3 requests in a second
