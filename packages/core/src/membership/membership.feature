Feature: What is live, leaving and loaded

  Scenario: Records merge to the same state in any order
    Then 500 random sets of records give the same member in any order, seed 11

  Scenario: A digest survives its encoding
    Then 200 random digests are the same after encoding, seed 12
    And a load in a digest takes 11 bytes and a whole record 32
    And bytes that are no digest are refused as an invalid message

  Scenario: Leaving wins until a new epoch
    Given a member at epoch 5
    When the host list calls it leaving
    And a record of epoch 5 and sequence 9 says that it stays
    Then the member is leaving
    When a record of epoch 6 and sequence 1 says that it stays
    And the host list calls it leaving
    Then the member is active

  Scenario: A runner that flaps once a second is held back longer and longer
    Given a member at epoch 5
    When it comes back under a new epoch once a second for 6 seconds
    Then it is held back for 32 seconds
    And a member that only joined is not held back

  Scenario: Old records do not count towards the mean
    Given runners with loads 100 and 300, and one of 9000 told 11 s ago
    Then the mean is 200, 2 s old, with 1 stale runner

  Scenario: The answer of a sidecar carries its record
    Then a record read from an answer's header is the one that was told

  Scenario: An old description does not replace a newer one
    Given a member at epoch 5
    When it tells that it serves "b" with sequence 3, and loads up to sequence 9
    And an old copy that it serves "a" comes with sequence 8
    Then it serves "b"
