Feature: Runners of an evacuated failure domain get nothing

  Scenario: Requests go to other failure domains at once
    Given a gateway that follows evacuations, and runners "a1" in "a" and "b1" in "b"
    When "a" is evacuated
    And 20 lookups are sent to it
    Then they are answered by "b1" only

  Scenario: Requests that run there are not cut off
    Given a gateway that follows evacuations, and runners "a1" in "a" and "a2" in "a"
    And their answers wait
    When 2 lookups have reached them
    And "a" is evacuated
    And their answers are sent
    Then both lookups are answered

  Scenario: All failure domains of a service are evacuated
    Given a gateway that follows evacuations, and runners "a1" in "a" and "b1" in "b"
    When "a" is evacuated
    And "b" is evacuated
    And 5 lookups are sent to it
    Then they are refused as not run, with a time to come back
    And no runner has seen one of them

  Scenario: A service without another runner goes on for a part of the limit
    Given a gateway with a last resort of 2000 ms, and runner "a1" in "a"
    When "a" is evacuated
    And 1 lookups are sent to it
    Then they are answered by "a1" only
    When 2500 ms pass at the gateway
    And 5 lookups are sent to it
    Then they are refused as not run, with a time to come back
    And no runner has seen one of them

  Scenario: A last resort ends as soon as another runner serves
    Given a gateway with a last resort of 2000 ms, and runner "a1" in "a"
    When "a" is evacuated
    And runner "b1" in "b" is added
    And 20 lookups are sent to it
    Then they are answered by "b1" only

  Scenario: A gateway that starts after the evacuation knows no last resort
    Given a gateway with a last resort of 2000 ms, which starts while "a" is evacuated, and runner "a1" in "a"
    When 5 lookups are sent to it
    Then they are refused as not run, with a time to come back
    And no runner has seen one of them

  Scenario: The failure domain returns, and is evacuated once more
    Given a gateway that follows evacuations, and runners "a1" in "a" and "b1" in "b"
    When "a" is evacuated
    And the evacuation of "a" ends
    And 40 lookups are sent to it
    Then they are answered by "a1" and "b1"
    When "a" is evacuated
    And 20 lookups are sent to it
    Then they are answered by "b1" only

  Scenario: Runners that return count as cold
    Given a gateway that follows evacuations, and runners "a1" in "a" and "a2" in "a"
    And cold runners tolerate 3 requests a second
    When "a" is evacuated
    And the evacuation of "a" ends
    And 20 lookups are sent to it
    Then "a1" has seen at most 3 of them
    And "a2" has seen at most 3 of them

  Scenario: A gateway that the list of gateways lacks sends nothing to cold runners
    Given a gateway that follows evacuations, and runners "a1" in "a" and "a2" in "a"
    And cold runners tolerate 3 requests a second
    And the list of gateways has another one only
    When "a" is evacuated
    And the evacuation of "a" ends
    And 5 lookups are sent to it
    Then they are refused as not run, with a time to come back
    And no runner has seen one of them

  Scenario: A restored store lacks the entry until its operator writes it again
    Given a gateway that follows evacuations, and runners "a1" in "a" and "b1" in "b"
    When the evacuations are copied
    And "a" is evacuated
    And the evacuations are restored from the copy
    And 20 lookups are sent to it
    Then they are answered by "b1" only

  Scenario: The store turns a gateway away, which learns of it from another one
    Given a gateway that follows evacuations, and runners "a1" in "a" and "b1" in "b"
    And another one with it as a seed, which the store turns away
    When "a" is evacuated
    Then the other one knows that "a" is evacuated

  Scenario: A gateway that starts is not ready before it knows the evacuations
    Given a gateway that follows evacuations, which it cannot read
    Then it is not ready
    When it can read the evacuations
    Then it is ready

  Scenario: A gateway whose deployment has no evacuations does not read them
    Given a gateway that does not follow evacuations
    Then it is ready and has not read any
