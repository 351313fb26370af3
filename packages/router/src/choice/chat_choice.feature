Feature: Placement of requests on the runners of a pool

  Background:
    Given a router that knows 4 runners with a load of 20000 tokens each

  Scenario: Work of this router counts before any record tells it
    When this router places 40 turns of 500 tokens of one chat
    Then they are spread over more than 1 runner
    And each runner has at most 13 of them

  Scenario: Work that has ended does not count
    When this router places 40 turns of 500 tokens of one chat one by one
    Then they are spread over 1 runner

  Scenario: A runner that was refused is not chosen again for the turn
    When all runners but one have refused a turn
    Then the turn is placed on that one

  Scenario: A runner that left is placed on no more
    When the first choice for a turn leaves
    Then the turn is placed on another runner

  Scenario: A restarted runner ramps up again
    When a runner comes back under a new epoch
    Then it offers less than its capacity
