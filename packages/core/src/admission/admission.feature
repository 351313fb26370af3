Feature: Admission to one runner
  Callers who wait come before work that may wait, no workspace crowds out the
  others, and what cannot be served in time is refused at once as not run.

  Scenario: A higher class is served first
    Given admission of 1 request at a time
    When requests wait as "late/2 soon/1 now/0"
    Then they run in the order "now soon late"

  Scenario: A surge does not queue before other workspaces
    Given admission of 1 request at a time
    When requests wait as "a1 a2 a3 a4 b1 b2 c1"
    Then they run in the order "a1 b1 c1 a2 b2 a3 a4"

  Scenario: Weights share a contended class
    Given admission of 1 request at a time
    When 60 requests of weight 2 and 60 of weight 1 wait
    Then the first 30 to run share 20 to 10

  Scenario: What cannot meet its deadline is refused at once
    Given admission of 1 request at a time
    And a runner that takes 100 ms for each request
    When 20 requests with a deadline of 1050 ms arrive at once
    Then the last 10 are refused at once as not run with a time to come back
    And the others meet their deadline

  Scenario: A deadline is judged with caution when durations vary
    Given admission of 1 request at a time
    And a runner that takes 50 or 150 ms in turn for 40 requests
    When a request with a deadline of 220 ms arrives behind another
    Then only that request is refused

  Scenario: A waiting request is refused when its time is over
    Given admission of 1 request at a time
    When a request with a deadline of 500 ms waits behind a silent runner
    Then it is refused as not run after 500 ms

  Scenario: A caller that goes while its request waits leaves no load
    Given admission of 1 request at a time
    When a waiting request is withdrawn
    Then it never runs and its load is released at once

  Scenario: A running request keeps its load until it has ended
    Given admission of 1 request at a time
    When the caller of a running request goes
    Then its load is released only when the task ends

  Scenario: The cap names the mean and its age
    Given a pool of 4 runners with a mean of 1000 tokens, 6000 ms old
    When the runner is offered load up to its cap
    Then the refusal names a mean of 1000 and an age of 6000 ms

  Scenario: A mean that is too low never lets a runner over the cap
    Then with seed 5 no wrong mean below the true one breaks the cap
    And with seed 5 a mean that is too high exceeds the cap by its error at most

  Scenario: A runner alone has no cap and a cut-off one has the minimum
    Then a lone runner admits any load
    And a runner that has lost sight of its pool admits the minimum

  Scenario: A workspace with little queued takes the place of one with much
    Given admission of 1 request at a time and a queue of 4
    When requests wait as "a1 a2 a3 a4 a5 b1"
    Then they run in the order "a1 b1 a2 a3 a4"

  Scenario: Concurrency follows the runner
    Given a concurrency limit of at most 64
    When first tokens take twice the target for 3 seconds
    Then the limit is 8
    When first tokens take half the target for 3 seconds
    Then the limit is 11

  Scenario: Every request has one outcome
    Then with seed 6 random work ends with one outcome each and no load
