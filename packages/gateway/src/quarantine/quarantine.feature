Feature: Prompts with a part that crashes runners are kept from them

  @known-red
  Scenario: A part that crashed five runners crashes at most three more
    Given 4 gateways and 8 runners
    When requests with a part that crashes runners have crashed 5, at all gateways
    And 20 more requests with the part are sent to all gateways
    Then at most 3 of them have reached runners
    And the others are refused as not run with result 2007

  @known-red
  Scenario: Each gateway has seen one crash at most
    Given 6 gateways and 8 runners
    When each of 5 gateways has sent one request with the part that is not repeated
    And 20 more requests with the part are sent to all gateways
    Then at most 3 of them have reached runners

  @known-red
  Scenario: A request that has crashed one runner does not crash the next
    Given 4 gateways and 8 runners
    And a request with a part that crashes runners has begun at one that goes on
    When requests with a part that crashes runners have crashed 5, at all gateways
    And the runner that went on crashes
    Then that request has reached 1 runner and its answer is cut

  @known-red
  Scenario: A gateway that starts later knows the part
    Given 4 gateways and 8 runners
    When requests with a part that crashes runners have crashed 5, at all gateways
    And another gateway starts
    And 10 more requests with the part are sent to the last gateway
    Then at most 3 of them have reached runners

  @known-red
  Scenario: Gateways share the part while the store does not answer
    Given 4 gateways and 12 runners
    When the store does not answer any gateway
    And requests with a part that crashes runners have crashed 5, at all gateways
    And 20 more requests with the part are sent to all gateways
    Then at most 3 of them have reached runners

  Scenario: Sound requests with the same other parts go on at the first attempt
    Given 4 gateways and 8 runners
    And 8 sound requests were answered
    When requests with a part that crashes runners have crashed 5, at all gateways
    And 20 sound requests with the same other parts are sent to all gateways
    Then all are answered at the first attempt
