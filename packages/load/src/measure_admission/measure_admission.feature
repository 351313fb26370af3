Feature: Measurements of admission
  The figures of the design note come from these runs; the same seed gives the
  same figures.

  Scenario Outline: A surge of one workspace hardly delays the others
    Then with seed <seed> a surge to 10 times delays the others' first tokens by at most 10 %

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: Admitted requests meet their deadlines under overload
    Then with seed 1 at 40 requests a second less than 2 % of the served requests are late
    And more requests are in time than with a fixed limit of 256

  Scenario Outline: Holding back lowers the busiest minute
    Then with seed <seed> the busiest minute is at least 10 % lower and no deadline is missed

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 18   |

  Scenario: Holding back never makes the busiest minute worse
    Then over seeds 1 to 10 the busiest minutes sum to at least 10 % less and none is higher
