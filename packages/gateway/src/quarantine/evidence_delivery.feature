Feature: Evidence of crashes reaches the gateways that do not answer at once

  Scenario: A gateway that answers after some time gets the evidence once
    Given a delivery to gateways "a b" of which "b" does not answer
    When a crash is sent
    Then "a" has received 1 crash and "b" 0
    When 1000 ms of delivery pass
    Then "a" has received 1 crash and "b" 0
    When "b" answers again
    And 1000 ms of delivery pass
    Then "a" has received 1 crash and "b" 1
    And nothing is left to deliver

  Scenario: Crashes that follow wait for the same gateway
    Given a delivery to gateways "a b" of which "b" does not answer
    When a crash is sent
    And a crash is sent
    And "b" answers again
    And 1000 ms of delivery pass
    Then "a" has received 2 crashes and "b" 2

  Scenario: A gateway that is no longer listed is given up
    Given a delivery to gateways "a b" of which "b" does not answer
    When a crash is sent
    And "b" is no longer listed
    And 1000 ms of delivery pass
    Then nothing is left to deliver

  Scenario: A gateway that never answers is given up after two minutes
    Given a delivery to gateways "a b" of which "b" does not answer
    When a crash is sent
    And 119000 ms of delivery pass
    Then "b" is still tried
    When 1000 ms of delivery pass
    Then nothing is left to deliver

  Scenario: The evidence that waits for a gateway is bounded
    Given a delivery to gateways "a b" of which "b" does not answer
    When 3000 crashes are sent
    And "b" answers again
    And 1000 ms of delivery pass
    Then "b" has received 1000 crashes
