Feature: Holding back deferrable requests
  The supplier bills by the busiest minute, so deferrable requests are held back
  while that minute is near. They still meet their deadlines.

  Scenario: Held requests are released in time under any traffic
    Then with seed 9 every held request is released in time

  Scenario: No request waits when holding back is disabled
    Given a gate that does not hold back
    When a deferrable request arrives at the peak
    Then it is released at once

  Scenario: A held request is refused when its caller disconnects
    Given a gate at its peak with a held request
    When the caller of the held request disconnects
    Then the held request is refused at once as not run

  Scenario: A leaving runner refuses its held requests
    Given a gate at its peak with a held request
    When the gate refuses all held requests
    Then the held request is refused at once as not run

  Scenario: A full hold refuses the next request
    Given a gate at its peak with a held request
    When another deferrable request arrives
    Then the new request is refused as not run and the first stays held
