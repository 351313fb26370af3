Feature: Long randomised runs

  Scenario Outline: No check fails under any fault or pair of faults
    When a full cycle of episodes runs with seed <seed>
    Then every fault and every pair of faults was active
    And no episode has failed

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: A violation is found, shrunk and replayed
    Given routers that retry money calls whatever their outcome
    When a full cycle of episodes runs with seed 3
    Then an episode has violated "at-most-once" with at most 2 faults
    And its replay shows the same failure
