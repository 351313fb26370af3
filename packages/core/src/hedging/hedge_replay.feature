Feature: Worth of second attempts in replays
  Replays of callers, routers and ten runners with 6 slots in three failure
  domains, in virtual time, with hedges of at most 0.03 of the requests and
  without. Three of ten requests are lookups, which may be repeated; bookings are
  the others. Arrivals and their work are the same in both.

  Scenario Outline: The slowest lookups become faster
    When <load> are replayed with seed <seed> while <disturbance>
    Then the p99 of lookups is lower by a third at least
    And hedges are at most 0.03 of the requests in every window
    And no kind of request is slower or fails more often

    Examples:
      | load                                     | seed | disturbance                               |
      | 12 routers with 30 requests a second     | 1    | one runner takes 8 times as long          |
      | 12 routers with 30 requests a second     | 2    | one runner takes 8 times as long          |
      | 12 routers with 30 requests a second     | 1    | one runner is slow for half of each second            |
      | 12 routers with 30 requests a second     | 1    | a failure domain is lost                  |

  Scenario Outline: Extra work makes no queue
    When <load> are replayed with seed <seed> while <disturbance>
    Then hedges are at most 0.03 of the requests in every window
    And no kind of request is slower or fails more often

    Examples:
      | load                                     | seed | disturbance                               |
      | 12 routers with 30 requests a second     | 1    | all runners take 5 times as long          |
      | 12 routers with 60 requests a second     | 1    | all runners take 5 times as long          |
      | 12 routers with 100 requests a second    | 1    | a burst of 3.3 times the requests comes   |
      | 60 routers with 2 requests a second      | 1    | one runner is slow for half of each second            |
