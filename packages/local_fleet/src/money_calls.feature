Feature: Money calls through a fleet
  A refund with an idempotency key takes effect once, through whichever router
  it is sent again.

  Background:
    Given a local fleet

  Scenario: A repeated refund has one effect and one answer
    When a refund of 100 to "a1" with key 1 is sent through router 1
    And the same refund is sent through router 2
    And the same refund is sent through router 1
    Then all answers to the refund are the same, with status 201
    And key 1 has taken effect 1 time

  Scenario: A key is not taken for another refund
    When a refund of 100 to "a1" with key 1 is sent through router 1
    And a refund of 999 to "a1" with key 1 is sent through router 2
    Then the refund is refused with status 422, code 4001 and executed "no"
    And key 1 has taken effect 1 time

  Scenario: Ten equal refunds at once have one effect
    When a refund of 5 to "a2" with key 1 is sent 10 times at once
    Then key 1 has taken effect 1 time

  Scenario: A runner that leaves hands its shards and answers on
    When a refund of 100 to "a1" with key 1 is sent through router 1
    And the runner that answered the refund is stopped
    And the same refund is sent through router 2
    Then all answers to the refund are the same, with status 201
    And key 1 has taken effect 1 time

  Scenario: A host that the platform lists as leaving hands its shards on
    When a refund of 100 to "a1" with key 1 is sent through router 1
    And the platform lists the host of that refund's owner as leaving
    And the refund is sent again until it is answered by another runner
    Then the last answer to the refund is the first one
    And key 1 has taken effect 1 time

  Scenario: An unknown outcome is listed, resolved and told
    Given the answer of the next refund is lost after its effect
    When a refund of 100 to "a1" with key 1 is sent through router 1
    Then the refund is refused with status 502, code 4003 and executed "unknown"
    And operators list 1 unknown outcome of key 1
    When operators resolve key 1 as "yes" because "Bank statement of today"
    And the same refund is sent through router 2
    Then the refund is refused with status 409, code 4010 and executed "yes"
    And the answer names the reason "Bank statement of today"
    And operators list 0 unknown outcomes
    And key 1 has taken effect 1 time

  Scenario: Lookups go on while the platform is down and refunds are refused
    Given every shard of the deposit ledger has an owner
    When the platform of the fleet goes down
    And a refund of 100 to "a1" with key 1 is sent through router 1
    Then the refund is refused with status 503, code 4005 and executed "no"
    And the refund may be tried again later
    And the balance of account "a1" is 0 through router 2
    When the platform of the fleet comes back
    And the refund is sent again until it is answered
    Then key 1 has taken effect 1 time
