Feature: Leases of duties and fencing of orders in a fleet

  Scenario: One router holds each duty and releases it when it stops
    Given a local fleet
    Then one router holds every duty
    When the router that holds the placement duty stops
    Then the other router holds it under a higher fencing number

  Scenario: A sidecar refuses orders under an older lease
    Given a local fleet
    Then one router holds every duty
    When an order with fencing number 3 reaches a sidecar, then one with 2
    Then the second order is refused with code 6001 and not executed

  Scenario: A sidecar cannot fetch the number while the platform is down
    Given a local fleet
    When the platform goes down before an order with fencing number 3 arrives
    Then the order is refused with code 5003 unless the runner reports a number

  Scenario: A restore of the store voids every lease and order of the time before
    Given a local fleet
    Then one router holds every duty
    When an order with fencing number 1 reaches a sidecar, then the store is restored
    Then one router holds the placement duty under a number of epoch 1
    And an order with fencing number 3 is refused with code 6001 and not executed
    And so it is by a sidecar that takes its first order
    When the store is restored from a copy without leases and statuses
    Then one router holds the placement duty under a number of epoch 2
    And the store has the status of the placement again
