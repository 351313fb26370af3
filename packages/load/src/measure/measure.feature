Feature: Measurement of routing policies

  Scenario: The same seed gives the same figures
    When "ours" is measured twice with seed 3 for 2 minutes
    Then both runs have the same figures

  Scenario: Every policy gets the same traffic
    When every policy is measured with seed 3 for 2 minutes
    Then no policy leaves a request unserved
    And "ours" reuses more than "least-of-two"
    And "ours" has less skew than "least-of-two"
    And "ours" has less skew than "rendezvous"

  Scenario: A gateway chooses an engine in far less time than a decoding step
    Then a choice among 31 engines with 1000 requests takes less than 50 µs at p50

  Scenario Outline: Each mechanism can be turned off
    When "ours" is measured with and without "<mechanism>" with seed 3 for 2 minutes
    Then the figures differ

    Examples:
      | mechanism    |
      | spill-hints  |
      | bounded-load |
      | ramp-up      |
      | kv-transfer  |
