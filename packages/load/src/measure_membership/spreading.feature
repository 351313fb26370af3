Feature: Spreading of digests among processes

  Scenario: News reaches all through loss, within the byte budget
    Given 48 processes on one virtual clock with 20 percent loss, seed 5
    When they run for 10 seconds
    And a sidecar begins to leave
    Then every router knows within 3 seconds
    When a new sidecar starts
    Then every router has it as a candidate within 5 seconds
    When a few processes of each failure domain get configuration 9
    Then every process knows of configuration 9 within 2 seconds
    And no process spent more than its byte budget

  Scenario: A cut between failure domains heals without a loss of members
    Given 48 processes on one virtual clock with 0 percent loss, seed 6
    When one failure domain is cut off for 30 seconds
    Then no router has dropped a runner
    When they run for 12 seconds
    Then every router holds fresh records of all runners

  Scenario: A sidecar begins to leave while a failure domain is cut off
    Given 48 processes on one virtual clock with 0 percent loss, seed 10
    When a sidecar begins to leave while another domain is cut off for 10 seconds
    Then every router knows within 3 seconds

  Scenario: Routers hold different host lists for ten seconds
    Given 48 processes on one virtual clock with 20 percent loss, seed 8
    When the host lists of half of the routers call a runner leaving
    And they run for 3 seconds
    Then no router has the runner as a candidate for 10 seconds

  Scenario: Loss, cuts, restarts, leaving and new versions together
    Then 12 random runs end with one view and versions never decrease, seed 9

  Scenario: A runner that flaps once a second during a cut and loss
    Given 48 processes on one virtual clock with 20 percent loss, seed 7
    When a sidecar restarts once a second for 12 seconds
    Then every router holds the flapping runner back
    And no process spent more than its byte budget
