Feature: Start of a runner
  A runner that comes back is empty, so it lowers the mean load of its pool. The
  load caps of the others follow only when they count it.

  Scenario: Runners that come back at once lower the caps of the others at once
    Given 13 runners in 1 pool with a load of 40000 each
    When 2 of them come back empty and have sent their first digests
    Then the others have a cap of at most 1.25 times the true mean

  Scenario: A runner of a large fleet asks the runners of its own pool first
    Given 200 runners in 20 pools with a load of 40000 each
    When 2 of them come back empty and have sent their first digests
    Then the others have a cap of at most 1.25 times the true mean
