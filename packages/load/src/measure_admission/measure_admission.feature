Feature: What admission is measured by
  The figures of the design note come from these runs; the same seed gives the
  same figures.

  Scenario Outline: A surge of one workspace hardly moves the others
    Then with seed <seed> a surge to 10 times moves the others' first tokens by at most 10 %

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: Under overload what is admitted comes in time
    Then with seed 1 at 40 requests a second under 2 % of what is served is late
    And more comes in time than with a fixed limit of 256

  Scenario Outline: Holding back lowers the busiest minute
    Then with seed <seed> the busiest minute is at least 10 % lower and no deadline is missed

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 18   |

  Scenario: Holding back never makes the busiest minute worse
    Then seeds 1 to 10 sum to at least 10 % less and none gets worse
