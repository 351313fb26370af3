Feature: Long randomised runs

  Scenario Outline: Every fault, alone and with every other, breaks no promise
    When a whole cycle of episodes is run with seed <seed>
    Then every fault and every pair of faults was active
    And no episode has failed

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: A broken rule is found, shrunk and replayed
    Given routers that repeat money calls whatever became of them
    When a whole cycle of episodes is run with seed 3
    Then an episode has failed by "at-most-once" with at most 2 faults
    And it fails alike when it is replayed
