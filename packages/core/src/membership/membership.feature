Feature: Membership records and digests

  Scenario: The merge order of records does not matter
    Then merging 500 random sets of records in any order gives the same member, seed 11

  Scenario: Digests are encoded and decoded
    Then 200 random digests are unchanged by encoding and decoding, seed 12
    And a load record takes at most 11 bytes in a digest and a full record 32
    And decoding malformed bytes fails with the result invalidMessage

  Scenario: A leaving member stays leaving until a new epoch
    Given a member at epoch 5
    When the host list marks it as leaving
    And a record of epoch 5 and sequence 9 that is not leaving is merged
    Then the member is leaving
    When a record of epoch 6 and sequence 1 that is not leaving is merged
    And the host list marks it as leaving
    Then the member is active

  Scenario: Each flap of a runner doubles its hold-down
    Given a member at epoch 5
    When it restarts with a new epoch once a second for 6 seconds
    Then it is held down for 32 seconds
    And a member that has only joined is not held down

  Scenario: Stale records do not count towards the mean load
    Given runners with loads 100 and 300, and one with load 9000 recorded 11 s ago
    Then the mean load is 200, 2 s old, with 1 stale runner

  Scenario: The header of a sidecar's answer contains its record
    Then a record decoded from an answer's header equals the encoded one

  Scenario: An outdated identity does not replace a newer one
    Given a member at epoch 5
    When it announces pool "b" at sequence 3 and loads up to sequence 9
    And an outdated identity with pool "a" arrives at sequence 8
    Then its runner serves pool "b"
