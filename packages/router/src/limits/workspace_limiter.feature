Feature: Workspace limits at routers
  Routers decide by the quota that they hold and ask the owner between requests.

  Background:
    Given 4 routers that hold a workspace to 20 requests a second

  Scenario: All routers together keep the limit
    When each router is offered 50 requests a second for 10 seconds
    Then at least 180 and at most 264 of the offered requests pass
    And each router passes at least 25 of them
    And the refused ones have the result "workspaceLimited"

  Scenario: Uneven routers share what there is
    When only one router is offered 50 requests a second for 10 seconds
    Then at least 180 and at most 264 of the offered requests pass

  Scenario: A router without its owner keeps to its even share
    Given no router reaches another
    When each router other than the owner is offered 50 requests a second for 10 seconds
    Then at least 130 and at most 199 of the offered requests pass

  Scenario: An owner that never answers holds nothing up
    Given no owner answers
    When each router other than the owner is offered 50 requests a second for 10 seconds
    Then at least 130 and at most 199 of the offered requests pass

  Scenario: Routers ask only for workspaces that have traffic
    When each router is offered 50 requests a second for 2 seconds
    And no request is offered for 4 seconds
    Then no question is asked in the last 2 seconds

  Scenario: A workspace at under half its limit is never refused
    When each router is offered 2 requests a second for 60 seconds
    Then at least 480 and at most 480 of the offered requests pass

  Scenario: A quiet workspace is asked for now and then only
    When each router is offered 1 requests a second for 60 seconds
    Then at least 240 and at most 240 of the offered requests pass
    And at most 80 questions are asked

  Scenario: Owners are spread over the routers
    Then 400 workspaces have between 50 and 150 owned by each router
    And a router that goes changes only the owners it was
