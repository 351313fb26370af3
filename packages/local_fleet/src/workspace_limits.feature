Feature: Workspace limits across the routers of a fleet
  The limit of a workspace applies to all routers together, and its requests
  above the limit are refused as not run.

  Background:
    Given a fleet whose exception limits "local" to 5 requests per second

  Scenario: A burst over two routers is held to the bound
    When both routers together receive 400 lookups of workspace "local"
    Then no more requests are answered than the bound allows
    And each refused request has code 2001, executed "no" and retry-after

  Scenario: Other workspaces are not limited
    When both routers together receive 400 lookups of workspace "local"
    Then 40 lookups of another workspace are all answered

  Scenario: The limit applies to chats too
    When both routers together receive 100 chats of workspace "local"
    Then no more requests are answered than the bound allows
    And each refused request has code 2001, executed "no" and retry-after

  Scenario: Routers grant each other quota
    When workspace "local" sends until both routers have used granted quota
    Then no more requests are answered than the bound allows
