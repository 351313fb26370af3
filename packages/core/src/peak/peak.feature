Feature: The busiest minute
  Work that may wait gives way at the peak minute and still meets its
  deadlines, since the supplier bills by the busiest minute.

  Scenario: No traffic makes a hold miss a deadline
    Then with seed 9 every held request is released in time

  Scenario: Without holding back nothing waits
    Given a gate that does not hold back
    When a deferrable request comes at the peak
    Then it is released at once

  Scenario: A request that is given up on is answered at once
    Given a gate at its peak with a held request
    When the caller of the held request goes
    Then the held request is refused at once as not run

  Scenario: A runner that leaves gives up what it holds
    Given a gate at its peak with a held request
    When the gate refuses all
    Then the held request is refused at once as not run

  Scenario: A full hold refuses the next request
    Given a gate at its peak with a held request
    When another deferrable request comes
    Then the other is refused as not run and the first stays held
