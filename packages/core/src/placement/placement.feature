Feature: Placement of models on runners

  Scenario: A model under higher demand receives runners from a colder one
    Given 12 runners in 3 failure domains and models "a" and "b"
    When "a" gets 10 times the demand of "b" for 60 minutes
    Then "a" has at least 8 runners and "b" at least 2

  Scenario: Demand that alternates every few minutes moves no runner
    Given 12 runners in 3 failure domains and models "a" and "b"
    When the demand alternates every 4 minutes, 30 times
    Then no runner was moved

  Scenario: Runners of a lost failure domain are replaced at the weight store's rate
    Given 12 runners in 3 failure domains and models "a" and "b"
    When failure domain "domain-0" and all runners of "b" are lost
    Then "b" has 2 runners again within 7 minutes
    And the weights were fetched at no more than the store's rate

  Scenario: A new version is rolled out a few runners at a time
    Given 12 runners in 3 failure domains and models "a" and "b"
    When a new version of "a" is declared and the store is fast
    Then all its runners load it, and at least 5 of them were always ready

  Scenario: Limits hold under random demand, lost runners and lost orders
    Then 40 random runs respect the minimum and the rate, seed 41
