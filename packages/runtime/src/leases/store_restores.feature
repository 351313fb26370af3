Feature: Leases after the store was restored from a copy

  Scenario: A lease is void as soon as any answer states a new epoch
    Given a router that holds a duty
    When another call states epoch 1
    Then the router does not hold the duty
    When 3 seconds pass for the router
    Then the router holds the duty under a number of epoch 1

  Scenario: A router that was down during the restore finds the old lease void
    Given a lease of another router in a store at epoch 2
    And a router that starts
    When 3 seconds pass for the router
    Then the router holds the duty under a number of epoch 2

  Scenario: A sidecar that starts after a restore refuses numbers that were lost
    Given a lease of another router in a store at epoch 2
    Then the number that a sidecar fetches is of epoch 2
    And it is of epoch 2 where the store has lost the lease
