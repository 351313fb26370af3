Feature: Gossip of digests among processes

  Scenario: Changes reach all processes despite loss, within the byte budget
    Given 48 processes on one virtual clock with 20 percent loss, seed 5
    When they run for 10 seconds
    And a sidecar begins to leave
    Then every router has received it within 3 seconds
    When a new sidecar starts
    Then every router has it as a candidate within 5 seconds
    When a few processes of each failure domain get configuration 9
    Then every process has configuration 9 within 2 seconds
    And no process exceeds its byte budget

  Scenario: No member is lost when a failure domain is partitioned for a time
    Given 48 processes on one virtual clock with 0 percent loss, seed 6
    When one failure domain is partitioned for 30 seconds
    Then no router has dropped a runner
    When they run for 12 seconds
    Then every router has fresh records of all runners

  Scenario: A sidecar begins to leave while a failure domain is partitioned
    Given 48 processes on one virtual clock with 0 percent loss, seed 10
    When a sidecar begins to leave while another domain is partitioned for 10 seconds
    Then every router has received it within 3 seconds

  Scenario: Routers have different host lists for ten seconds
    Given 48 processes on one virtual clock with 20 percent loss, seed 8
    When the host lists of half of the routers show a runner as leaving
    And they run for 3 seconds
    Then no router has the runner as a candidate for 10 seconds

  Scenario: Loss, partitions, restarts, leaving and new versions together
    Then 12 random runs converge and versions never decrease, seed 9

  Scenario: A runner that flaps once a second under loss
    Given 48 processes on one virtual clock with 20 percent loss, seed 7
    When a sidecar restarts once a second for 12 seconds
    Then every router holds the flapping runner down
    And no process exceeds its byte budget
