Feature: Workspace limits over the routers of a fleet
  A workspace is held to its limit over all routers together, and what it sends
  beyond that is refused as not run.

  Background:
    Given a fleet whose exception holds workspace "local" to 5 requests a second

  Scenario: A burst over two routers passes no more than the bound
    When both routers together get 400 lookups of workspace "local"
    Then no more of them are answered than the bound allows
    And each of the others has code 2001, executed "no" and retry-after

  Scenario: Other workspaces are untouched
    When both routers together get 400 lookups of workspace "local"
    Then 40 lookups of another workspace are all answered

  Scenario: The limit is in force for chats too
    When both routers together get 100 chats of workspace "local"
    Then no more of them are answered than the bound allows
    And each of the others has code 2001, executed "no" and retry-after

  Scenario: Routers grant each other quota
    When workspace "local" sends until both routers passed requests by grants
    Then no more of them are answered than the bound allows
