Feature: Runners get no more requests than they state

  Scenario: A runner that states a limit gets no more from all gateways together
    Given 4 gateways and 3 runners
    And runner 1 states a limit of 4 requests a second
    When 60 lookups are sent to all gateways in turn
    Then all lookups are answered at the first attempt
    And runner 1 has received no more than its limit allows gateways that know it

  Scenario: The excess is refused at once if all runners state limits
    Given 1 gateways and 1 runners
    And runner 1 states a limit of 1 requests a second
    When 10 lookups are sent to all gateways in turn
    Then the first is answered, and of the others no more than the limit allows
    And the rest is refused as not run with a time to come back

  Scenario: A runner that states no limit any more gets requests as before
    Given 4 gateways and 1 runners
    And runner 1 states a limit of 200 requests a second
    When 8 lookups are sent to all gateways in turn
    And runner 1 states no limit any more
    Then lookups at all gateways are answered soon and then without exception

  Scenario: Gateways that send nothing to a runner learn its limit and the end of it
    Given 4 gateways and 1 runners
    And runner 1 states a limit of 200 requests a second
    When 1 lookups are sent to all gateways in turn
    Then all gateways know a limit of 200 requests a second
    When runner 1 states no limit any more
    And the first gateway has a lookup answered
    Then all gateways know of no limit
