Feature: Placement of models on runners

  Scenario: A model that gets more demand gets runners from a colder one
    Given 12 runners in 3 failure domains and models "a" and "b"
    When "a" gets 10 times the demand of "b" for 60 minutes
    Then "a" has at least 8 runners and "b" at least 2

  Scenario: Demand that changes sides every few minutes moves nothing
    Given 12 runners in 3 failure domains and models "a" and "b"
    When the demand changes sides every 4 minutes, 30 times
    Then no runner was moved

  Scenario: A lost failure domain is made good at the rate of the weight store
    Given 12 runners in 3 failure domains and models "a" and "b"
    When failure domain "domain-0" and all runners of "b" are lost
    Then "b" has 2 runners again within 7 minutes
    And the weights were fetched at no more than the store's rate

  Scenario: A new version comes a few runners at a time
    Given 12 runners in 3 failure domains and models "a" and "b"
    When a new version of "a" is declared and the store is fast
    Then all its runners get it, and 5 of them were always ready

  Scenario: Random demand, losses and lost orders together
    Then 40 random runs keep the minimum and the rate, seed 41
