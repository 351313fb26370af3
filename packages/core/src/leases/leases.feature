Feature: Leases of duties

  Scenario: One router holds a duty and another takes over when it dies
    Given 5 routers with one duty, seed 31
    When 10 seconds pass
    Then exactly one router holds the duty
    When its holder dies and 20 seconds pass
    Then exactly one other router holds it with a higher fencing number

  Scenario: A holder that leaves hands its duty over
    Given 5 routers with one duty, seed 32
    When 10 seconds pass
    And its holder leaves and 8 seconds pass
    Then exactly one other router holds it with a higher fencing number

  Scenario: A paused holder goes on to give orders
    Given 5 routers with one duty, seed 33
    When 10 seconds pass
    And its holder is paused for 30 seconds and then gives an order at once
    Then the order is refused for its fencing number

  Scenario: A restarted sidecar takes no order before it learned the number
    Given 5 routers with one duty, seed 34
    When 10 seconds pass
    And the sidecar restarts
    Then an order is refused until the highest number is learned

  Scenario: Pauses, outages, lost answers and stale reads together
    Then orders never go back to an older holder in 60 random runs, seed 35

  Scenario: Quiet holders write nothing
    Given 5 routers with one duty, seed 36
    When 10 seconds pass
    Then no write and at most 100 reads happen in 60 seconds

  Scenario: Orders to a runner that ignores the number do not overtake
    Given a runner that ignores fencing numbers and takes orders slowly
    When orders with numbers 5, 7 and 6 arrive at once
    Then the runner gets orders 5 and 7, one after the other
