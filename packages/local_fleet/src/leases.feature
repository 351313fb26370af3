Feature: Duties and orders in a fleet

  Scenario: One router holds each duty and hands it over when it stops
    Given a local fleet
    Then one router holds every duty
    When the router that holds the placement stops
    Then the other router holds it under a higher fencing number

  Scenario: A sidecar refuses orders of an older lease
    Given a local fleet
    Then one router holds every duty
    When an order of number 3 reaches a sidecar, then one of number 2
    Then the later order is refused with code 6001 and not carried out

  Scenario: A sidecar cannot learn the number while the platform is down
    Given a local fleet
    When the platform goes down before an order of number 3 arrives
    Then the order is refused with code 5003 or learned from the runner
