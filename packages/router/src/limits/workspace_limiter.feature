Feature: Workspace limits at routers
  Routers admit requests from the quota that they hold, and request more from
  the owner in the background.

  Background:
    Given 4 routers that limit a workspace to 20 requests a second

  Scenario: All routers together enforce the limit
    When each router is offered 50 requests a second for 10 seconds
    Then at least 180 and at most 264 of the offered requests are admitted
    And each router admits at least 25 of them
    And the refused requests have the result "workspaceLimited"

  Scenario: A router with all the traffic may use the whole limit
    When only one router is offered 50 requests a second for 10 seconds
    Then at least 180 and at most 264 of the offered requests are admitted

  Scenario: A router that cannot reach the owner uses its even share
    Given no router can reach another
    When each router other than the owner is offered 50 requests a second for 10 seconds
    Then at least 130 and at most 199 of the offered requests are admitted

  Scenario: An owner that never answers blocks no requests
    Given no owner answers
    When each router other than the owner is offered 50 requests a second for 10 seconds
    Then at least 130 and at most 199 of the offered requests are admitted

  Scenario: Routers request quota only for workspaces with traffic
    When each router is offered 50 requests a second for 2 seconds
    And no request is offered for 4 seconds
    Then no quota is requested in the last 2 seconds

  Scenario: A workspace below half its limit is never refused
    When each router is offered 2 requests a second for 60 seconds
    Then at least 480 and at most 480 of the offered requests are admitted

  Scenario: Quota for a workspace with little traffic is requested rarely
    When each router is offered 1 requests a second for 60 seconds
    Then at least 240 and at most 240 of the offered requests are admitted
    And quota is requested at most 80 times

  Scenario: Ownership is distributed over the routers
    Then 400 workspaces have between 50 and 150 owned by each router
    And removing a router changes only the owners of its workspaces
