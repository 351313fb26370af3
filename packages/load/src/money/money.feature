Feature: Randomised money calls
  The ledger's decision code runs in virtual time while the platform fails,
  loses answers and returns stale reads, and sidecars are paused, killed,
  replaced and drained. Callers retry keys through routers whose lists differ.

  Scenario Outline: No key takes effect twice, and calls reported as not run never run
    When 20000 money calls run in mode "<mode>" with seed <seed>
    Then no guarantee of the ledger is violated
    And at least 30 effects in 100 calls are counted

    Examples:
      | mode        | seed |
      | refuse      | 1    |
      | refuse      | 2    |
      | refuse      | 3    |
      | open-window | 1    |
      | open-window | 2    |
      | open-window | 3    |

  Scenario Outline: No key takes effect twice while the store is restored from copies
    When 20000 money calls run in mode "<mode>" with seed <seed> and restores
    Then no guarantee of the ledger is violated
    And at least 5 effects in 100 calls are counted

    Examples:
      | mode        | seed |
      | refuse      | 11   |
      | refuse      | 12   |
      | refuse      | 13   |
      | open-window | 11   |
      | open-window | 12   |
      | open-window | 13   |

  Scenario Outline: The same run finds an injected bug
    When 20000 money calls run in mode "refuse" with seed <seed> and the bug "<bug>"
    Then the run finds "<violation>"

    Examples:
      | bug                      | seed | violation      |
      | no-fence                 | 2    | effect-twice   |
      | retry-without-settlement | 1    | effect-twice   |
      | match-by-connection      | 1    | foreign-answer |
