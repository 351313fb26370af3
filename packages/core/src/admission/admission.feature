Feature: Admission to one runner
  Higher-priority classes are served first, no workspace starves the others, and
  a request that cannot meet its deadline is refused at once as not run.

  Scenario: A higher-priority class is served first
    Given admission of 1 request at a time
    When these requests arrive: "late/2 soon/1 now/0"
    Then they run in the order "now soon late"

  Scenario: A surge of one workspace does not delay the others
    Given admission of 1 request at a time
    When these requests arrive: "a1 a2 a3 a4 b1 b2 c1"
    Then they run in the order "a1 b1 c1 a2 b2 a3 a4"

  Scenario: Workspaces share a contended class by weight
    Given admission of 1 request at a time
    When 60 requests of weight 2 and 60 of weight 1 wait
    Then the first 30 to run are 20 of weight 2 and 10 of weight 1

  Scenario: Requests that cannot meet their deadline are refused at once
    Given admission of 1 request at a time
    And a runner that takes 100 ms for each request
    When 20 requests with a deadline of 1050 ms arrive at once
    Then the last 10 are refused at once as not run with a retry delay
    And the others meet their deadline

  Scenario: The deadline check is conservative when durations vary
    Given admission of 1 request at a time
    And a runner that alternately takes 50 and 150 ms for 40 requests
    When a request with a deadline of 220 ms arrives behind another request
    Then only that request is refused

  Scenario: A waiting request is refused at its deadline
    Given admission of 1 request at a time
    When a request with a deadline of 500 ms waits for a runner that does not respond
    Then it is refused as not run after 500 ms

  Scenario: Cancelling a waiting request releases its load
    Given admission of 1 request at a time
    When a waiting request is cancelled
    Then it never runs and its load is released at once

  Scenario: A running request keeps its load until it ends
    Given admission of 1 request at a time
    When the caller of a running request disconnects
    Then its load is released only when the task ends

  Scenario: A refusal at the load cap reports the mean and its age
    Given a pool of 4 runners with a mean of 1000 tokens, 6000 ms old
    When the runner is offered load up to its cap
    Then the refusal reports a mean of 1000 and an age of 6000 ms

  Scenario: An underestimated mean never lets a runner exceed the cap
    Then with seed 5 no underestimated mean lets the load exceed the cap
    And with seed 5 an overestimated mean raises the load by at most its scaled error

  Scenario: A lone runner has no cap and one without fresh records the minimum
    Then a lone runner admits any load
    And a runner with only stale records of its pool admits the minimum

  Scenario: A full queue evicts from the workspace with the most queued
    Given admission of 1 request at a time and a queue of 4
    When these requests arrive: "a1 a2 a3 a4 a5 b1"
    Then they run in the order "a1 b1 a2 a3 a4"

  Scenario: The concurrency limit adapts to the latency of the runner
    Given a concurrency limit of at most 64
    When first tokens take twice the target for 3 seconds
    Then the limit is 8
    When first tokens take half the target for 3 seconds
    Then the limit is 11

  Scenario: Every request has exactly one outcome
    Then with seed 6 random requests have one outcome each and leave no load
