Feature: Placement of requests on the runners of a pool

  Background:
    Given a router with 4 known runners, each with a load of 20000 tokens

  Scenario: Requests of this router count before a load record reports them
    When this router places 40 turns of 500 tokens of one chat
    Then they are spread over more than 1 runner
    And each runner has at most 13 of them

  Scenario: Completed requests do not count
    When this router places 40 successive turns of 500 tokens of one chat
    Then they are spread over 1 runner

  Scenario: A runner that refused a turn is not chosen for it again
    When all runners but one have refused a turn
    Then the turn is placed on the remaining runner

  Scenario: A runner that has left is no longer chosen
    When the first runner chosen for a turn leaves
    Then the turn is placed on another runner

  Scenario: A restarted runner ramps up again
    When a runner restarts with a new epoch
    Then its available capacity is below its full capacity
