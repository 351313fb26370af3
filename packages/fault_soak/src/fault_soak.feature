Feature: The checker of the fault soak sees each broken promise

  Scenario: A history without faults or losses is clean
    Given callers whose requests of every kind are served
    Then no promise was broken

  Scenario Outline: A broken promise is found
    Given callers whose requests of every kind are served
    And <fault>
    Then "<check>" was broken and nothing else

    Examples:
      | fault                                                   | check           |
      | a whole answer that belongs to another request          | whole-answers   |
      | a stream that lacks its fifth event                     | whole-answers   |
      | a stream that breaks off among another's events         | whole-answers   |
      | a payout that runs at two runners                       | at-most-once    |
      | a payout that has run and is answered 503               | true-refusals   |
      | a summary that runs at two runners                      | attempts        |
      | twenty lookups that arrive three times within a second  | repeats         |
      | a lookup whose answer comes 600 ms after its limit      | time-limits     |
      | an added route that is unknown 3100 ms after            | versions        |
      | an added route that was known and is not any more       | never-back      |
      | a run at a runner that drains for 3100 ms               | drained-runners |
      | a stream that ends 600 ms after its caller left         | cancellation    |
      | a stream that a planned stop of its gateway cuts        | planned-stops   |
      | a lookup that fails long after the last fault           | recovery        |

  Scenario Outline: What a fault explains is no broken promise
    Given callers whose requests of every kind are served
    And <fault>
    And a fault "<kind>" around it
    Then no promise was broken

    Examples:
      | fault                                              | kind              |
      | a lookup whose answer comes 600 ms after its limit | gateway-paused    |
      | an added route that is unknown 3100 ms after       | store-down        |
      | a run at a runner that drains for 3100 ms          | store-link-silent |
      | a stream that ends 600 ms after its caller left    | runner-link-reset |
      | a stream that a planned stop of its gateway cuts   | runner-killed     |

  Scenario Outline: What no fault excuses
    Given callers whose requests of every kind are served
    And <fault>
    And a fault "all-killed" around it
    Then "<check>" was broken and nothing else

    Examples:
      | fault                                             | check         |
      | a whole answer that belongs to another request    | whole-answers |
      | a payout that runs at two runners                 | at-most-once  |
      | a payout that has run and is answered 503         | true-refusals |
      | an added route that was known and is not any more | never-back    |

  Scenario: A seed stands for one schedule that covers every kind in time
    Then seed 7 draws the same faults twice and seed 8 others
    And 60 seeds draw every kind of fault
