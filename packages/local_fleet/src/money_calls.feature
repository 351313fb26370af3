Feature: Money calls through a fleet
  A refund with an idempotency key takes effect once, whichever routers its
  retries are sent through.

  Background:
    Given a local fleet

  Scenario: A retried refund has one effect and one answer
    When a refund of 100 to "a1" with key 1 is sent through router 1
    And the same refund is sent through router 2
    And the same refund is sent through router 1
    Then all answers to the refund are the same, with status 201
    And key 1 has taken effect 1 time

  Scenario: A key cannot be reused for a different refund
    When a refund of 100 to "a1" with key 1 is sent through router 1
    And a refund of 999 to "a1" with key 1 is sent through router 2
    Then the refund is refused with status 422, code 4001 and executed "no"
    And key 1 has taken effect 1 time

  Scenario: A refund that the store has lost has one effect and one answer
    Given a copy of the platform's store
    When a refund of 100 to "a1" with key 1 is sent through router 1
    And the platform's store is restored from the copy
    And the runner that answered the refund is stopped
    And the same refund is sent through router 2
    Then all answers to the refund are the same, with status 201
    And key 1 has taken effect 1 time

  Scenario: Ten parallel sends of a refund have one effect
    When a refund of 5 to "a2" with key 1 is sent 10 times in parallel
    Then key 1 has taken effect 1 time

  Scenario: A runner that leaves hands over its shards and answers
    When a refund of 100 to "a1" with key 1 is sent through router 1
    And the runner that answered the refund is stopped
    And the same refund is sent through router 2
    Then all answers to the refund are the same, with status 201
    And key 1 has taken effect 1 time

  Scenario: A host that the platform lists as leaving hands over its shards
    When a refund of 100 to "a1" with key 1 is sent through router 1
    And the platform lists the host of that refund's owner as leaving
    And the refund is retried until another runner answers it
    Then the last answer to the refund equals the first one
    And key 1 has taken effect 1 time

  Scenario: An unknown outcome is listed, resolved and reported
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

  Scenario: Lookups succeed and refunds are refused while the platform is down
    Given every shard of the deposit ledger has an owner
    When the platform of the fleet goes down
    And a refund of 100 to "a1" with key 1 is sent through router 1
    Then the refund is refused with status 503, code 4005 and executed "no"
    And the answer says when to retry the refund
    And the balance of account "a1" is 0 through router 2
    When the platform of the fleet is available again
    And the refund is retried until it is answered
    Then key 1 has taken effect 1 time
