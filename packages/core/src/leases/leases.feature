Feature: Leases of duties

  Scenario: Another router takes a duty over when its holder crashes
    Given 5 routers with one duty, seed 31
    When 10 seconds pass
    Then exactly one router holds the duty
    When its holder crashes and 20 seconds pass
    Then exactly one other router holds it with a higher fencing number

  Scenario: A leaving holder hands its duty over
    Given 5 routers with one duty, seed 32
    When 10 seconds pass
    And its holder leaves and 8 seconds pass
    Then exactly one other router holds it with a higher fencing number

  Scenario: An order of a holder that was paused past its lease is refused
    Given 5 routers with one duty, seed 33
    When 10 seconds pass
    And its holder is paused for 30 seconds and then issues an order
    Then the order is refused for its fencing number

  Scenario: A restarted sidecar refuses orders until it observes the number
    Given 5 routers with one duty, seed 34
    When 10 seconds pass
    And the sidecar restarts
    Then an order is refused until the highest number is observed

  Scenario: Orders stay fenced during pauses, outages, lost responses and stale reads
    Then no order of an older holder follows one of a newer holder in 60 random runs, seed 35

  Scenario: A lease is not written while its holder stays
    Given 5 routers with one duty, seed 36
    When 10 seconds pass
    Then no write and at most 100 reads happen in 60 seconds

  Scenario: Orders to a runner that ignores fencing numbers stay in sequence
    Given a runner that ignores fencing numbers and runs orders slowly
    When orders with numbers 5, 7 and 6 arrive together
    Then the runner gets orders 5 and 7, one after the other

  Scenario: A lease of the epoch before a restore of the store is void at once
    Given 5 routers with one duty, seed 37
    When 10 seconds pass
    And the store is restored with its last 0 leases lost
    Then the holder no longer holds the duty once it notices
    When 8 seconds pass
    Then exactly one router holds it with a fencing number of epoch 1

  Scenario: A fencing number that a restore has lost is not given out again
    Given 5 routers with one duty, seed 38
    When 10 seconds pass
    And its holder crashes and 20 seconds pass
    And the store is restored with its last 1 leases lost
    And 10 seconds pass
    Then exactly one router holds it with a fencing number of epoch 1
    When the store is restored with its last 2 leases lost
    And 10 seconds pass
    Then exactly one router holds it with a fencing number of epoch 2

  Scenario: An order under a lost lease is refused by a sidecar that restarts
    Given 5 routers with one duty, seed 39
    When 10 seconds pass
    And its holder crashes and 20 seconds pass
    And the store is restored with its last 1 leases lost
    And the sidecar restarts and observes the number
    Then an order of a holder that has not noticed the restore is refused

  Scenario: An order under a lost lease is refused by a sidecar that noticed
    Given 5 routers with one duty, seed 40
    When 10 seconds pass
    And the store is restored with its last 0 leases lost
    And the sidecar notices the restore
    Then an order of a holder that has not noticed the restore is refused

  Scenario: Orders stay fenced and numbers unique while the store is restored
    Then fencing numbers have one holder in 60 random runs with restores, seed 41

  Scenario: A write that is confirmed late by the store before a restore is no lease
    Given 5 routers with one duty, seed 42
    When a router takes the duty and the answer follows the notice of a restore
    Then that router does not hold the duty
    When 20 seconds pass
    Then exactly one router holds it with a fencing number of epoch 1
