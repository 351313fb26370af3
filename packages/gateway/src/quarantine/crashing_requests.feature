Feature: Requests that crash runners are kept from them

  Scenario: A lookup that crashed three runners crashes at most three more
    Given 4 gateways and 8 runners
    When a lookup that crashes runners has crashed 3 or all gateways refuse it
    And it is sent 20 more times, to all gateways
    Then at most 3 of those have reached runners
    And the others are refused as not run with result 2008

  Scenario: Each gateway has seen one crash of a payout at most
    Given 6 gateways and 8 runners
    When each of 3 gateways has sent a payout that crashes runners
    And it is sent 20 more times, to all gateways
    Then at most 3 of those have reached runners

  Scenario: A stream that crashes runners once it has begun
    Given 4 gateways and 8 runners
    When a stream that crashes runners has crashed 3 or all gateways refuse it
    And it is sent 20 more times, to all gateways
    Then at most 3 of those have reached runners

  Scenario: A gateway that starts later knows the request
    Given 4 gateways and 8 runners
    When a lookup that crashes runners has crashed 3 or all gateways refuse it
    And another gateway starts
    And it is sent 10 more times, to the last gateway
    Then at most 3 of those have reached runners

  Scenario: Gateways share the request while the store does not answer
    Given 4 gateways and 12 runners
    When the store does not answer any gateway
    And a lookup that crashes runners has crashed 3 or all gateways refuse it
    And it is sent 20 more times, to all gateways
    Then at most 3 of those have reached runners

  Scenario: Other requests of the same path and caller go on
    Given 4 gateways and 8 runners
    When a lookup that crashes runners has crashed 3 or all gateways refuse it
    And 20 lookups with other bodies are sent to all gateways
    Then all lookups are answered

  Scenario: Requests that three crashes took along go on
    Given 4 gateways and 8 runners
    When a lookup that crashes runners has crashed 3 with the same other lookup under way at each
    And the other lookup is sent 20 times, to all gateways
    Then all lookups are answered

  Scenario: A request that was answered is not blamed for crashes of all its runners
    Given 4 gateways and 8 runners
    And the same lookup was answered 4 times
    When 5 runners crash while that lookup is under way at each
    And the other lookup is sent 20 times, to all gateways
    Then all lookups are answered

  Scenario: A request that was sent to runners after their crash is not blamed
    Given 4 gateways and 4 runners
    When 3 runners crash behind proxies that still accept connections
    And the other lookup is sent 40 times, to all gateways
    Then no lookup is refused with result 2008

  Scenario: Runners that were listed before they started crash later
    Given 4 gateways and 8 runners
    When all runners are listed while only proxies accept connections
    And they have started
    And a lookup that crashes runners has crashed 3 or all gateways refuse it
    And it is sent 20 more times, to all gateways
    Then at most 3 of those have reached runners
