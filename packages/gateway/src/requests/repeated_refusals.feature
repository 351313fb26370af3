Feature: Runners that write an earlier refusal once more

  Scenario: A refusal is repeated when its request returns to the runner
    Given a gateway and a runner "first"
    And it refuses each payout once, and repeats that on the same connection before it runs it
    And another runner that cannot be reached
    When 20 payouts are sent, one after the other
    Then at least 5 have run, and none of those was refused as not run

  Scenario: A refusal that names no request comes before an answer
    Given a gateway and a runner "first"
    And it writes a refusal without the request's id before each answer but the first
    When 20 payouts are sent, one after the other
    Then at least 5 have run, and none of those was refused as not run

  Scenario: The pause of a repeated refusal is over
    Given a gateway and a runner "first"
    And it refuses the first payout for 200 ms, and repeats that before each answer
    When 1 payouts are sent, one after the other
    And the runner is left alone for 300 ms
    And 3 payouts are sent, one after the other
    Then at least 3 have run, and none of those was refused as not run
