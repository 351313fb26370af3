Feature: Workspace limits shared by all routers
  Each router sees only a fraction of a workspace's traffic. The owner of the
  workspace grants quota, and routers admit requests from their grants.

  Scenario: The first request of a workspace does not wait for a grant
    Given 4 routers and a workspace limit of 10 requests a second
    Then each router admits a first request at once

  Scenario: A request is refused when the quota is used up
    Given 1 routers and a workspace limit of 10 requests a second
    When the workspace sends 100 requests a second for 10 seconds
    Then between 90 and 121 requests are admitted

  Scenario: Routers with uneven traffic share the limit by demand
    Given 4 routers and a workspace limit of 20 requests a second
    When one router gets 3 in 4 of 100 requests a second for 10 seconds
    Then between 170 and 244 requests are admitted
    And that router admits the most

  Scenario: The overshoot stays within its bound when grants are lost
    Then in 400 random runs no window admits more than the bound
