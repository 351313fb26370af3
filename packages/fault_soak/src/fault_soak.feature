Feature: Checks of the fault soak detect every violated guarantee

  Scenario: A history without faults or losses has no violation
    Given callers whose requests of every kind are served
    Then there is no violation

  Scenario Outline: A violation is found
    Given callers whose requests of every kind are served
    And <fault>
    Then "<check>" is the only violated check

    Examples:
      | fault                                                    | check           |
      | a whole answer that belongs to another request           | whole-answers   |
      | a stream that lacks its fifth event                      | whole-answers   |
      | a stream that breaks off after another request's event   | whole-answers   |
      | an unframed stream that ends after its fifth event       | whole-answers   |
      | a stream whose last events are of another version        | software-versions |
      | a stream that is taken up at another version             | software-versions |
      | a payout that runs at two runners                        | at-most-once    |
      | a payout that ran and is answered 503                    | true-refusals   |
      | a summary that runs at two runners                       | attempts        |
      | twenty lookups that arrive three times within a second   | repeats         |
      | a lookup whose answer comes 600 ms after its limit       | time-limits     |
      | a lookup without answer on a connection opened after a silence | time-limits |
      | an added route that is unknown 3100 ms after its version | versions        |
      | an added route that was known and is unknown later       | never-back      |
      | a run at a runner that has drained for 3100 ms           | drained-runners |
      | a call 3100 ms after its runner stated that it leaves    | announced-leaving |
      | three lookups at a runner that asked for a pause         | resting-runners |
      | a stream that ends 600 ms after its caller disconnected  | cancellation    |
      | a stream that a planned stop of its gateway cuts         | planned-stops   |
      | a lookup that fails long after the last fault            | recovery        |

  Scenario Outline: A fault excuses the losses that it explains
    Given callers whose requests of every kind are served
    And <fault>
    And a fault "<kind>" at that time
    Then there is no violation

    Examples:
      | fault                                                    | kind              |
      | a lookup whose answer comes 600 ms after its limit       | gateway-paused    |
      | an added route that is unknown 3100 ms after its version | store-down        |
      | a run at a runner that has drained for 3100 ms           | store-link-silent |
      | a stream that ends 600 ms after its caller disconnected  | runner-link-reset |
      | a call 3100 ms after its runner stated that it leaves    | gateway-paused    |
      | three lookups at a runner that asked for a pause         | runner-link-silent |
      | a stream that a planned stop of its gateway cuts         | runner-killed     |
      | an unframed stream that ends after its fifth event       | gateway-killed    |

  Scenario: A stream whose unframed answer its runner truncated by its exit is excused
    Given callers whose requests of every kind are served
    And a stream that ends early since its runner exited in an unframed answer
    Then there is no violation

  Scenario: An exit does not excuse a stream whose answer was framed
    Given callers whose requests of every kind are served
    And a stream that ends early although its runner exited in a framed answer
    Then "whole-answers" is the only violated check

  Scenario: A connection that was open while its link was silent stays silent
    Given callers whose requests of every kind are served
    And a lookup without answer on a connection from a silence before
    Then there is no violation

  Scenario Outline: A <kind> does not excuse an unframed stream without its end
    Given callers whose requests of every kind are served
    And an unframed stream that ends after its fifth event
    And a fault "<kind>" at that time
    Then "whole-answers" is the only violated check

    Examples:
      | kind              |
      | gateway-stopped   |
      | caller-link-reset |
      | runner-killed     |

  Scenario Outline: No fault excuses a wrong answer, a second run or a rollback
    Given callers whose requests of every kind are served
    And <fault>
    And a fault "all-killed" at that time
    Then "<check>" is the only violated check

    Examples:
      | fault                                              | check         |
      | a whole answer that belongs to another request     | whole-answers |
      | a payout that runs at two runners                  | at-most-once  |
      | a payout that ran and is answered 503              | true-refusals |
      | an added route that was known and is unknown later | never-back    |

  Scenario Outline: A paused gateway must see that a caller has left before it goes on
    Given callers whose requests of every kind are served
    And a lookup that reaches a runner 600 ms after its caller disconnected
    And a fault "<kind>" at that time
    Then <result>

    Examples:
      | kind               | result                                |
      | gateway-paused     | "late-work" is the only violated check |
      | caller-link-silent | there is no violation                 |
      | runner-paused      | there is no violation                 |

  Scenario: Schedules depend on the seed only, and seeds cover every kind
    Then seed 7 draws the same faults twice and seed 8 others
    And 60 seeds draw every kind of fault
