Feature: Coverage of the fault soak

  Scenario: Episodes with a fault and with pairs that overlap are counted
    Given an episode with "store-down" at 1 to 3 s, "runner-killed" at 2 to 4 s and "runner-killed" at 9 to 9 s
    And an episode with "runner-killed" at 1 to 5 s, "runner-killed" at 2 to 3 s and "store-down" at 6 to 7 s
    When their coverage is added to an empty file, and added again
    Then the file has the rows "runner-killed,,4 runner-killed,runner-killed,2 runner-killed,store-down,2 store-down,,4"

  Scenario: A file with other content is refused and kept
    Given a coverage file with the text "seed 4: 0 violations"
    When their coverage is added to it
    Then an error names "seed 4: 0 violations" and the file is as it was
