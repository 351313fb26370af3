Feature: Every process applies the accepted declaration

  Scenario: Outages, slow and stale reads, and gossip of versions
    Then 60 random runs end with the last accepted declaration, seed 51

  Scenario: A peer returns a body that does not match its hash
    Given 2 processes that follow the declaration
    When a peer returns another body under the same hash to the second process
    Then the second process keeps version 1 and later applies the real version 2

  Scenario: A peer that does not answer delays a decision only briefly
    Given 2 processes that follow the declaration
    When a peer announces a version and does not answer
    Then the wait of the second process ends after 250 ms of virtual time

  Scenario: An older declaration is ignored
    Given 2 processes that follow the declaration
    When an older declaration is applied after a newer one
    Then the newer declaration stays current

  Scenario: A peer announces a version that does not exist
    Given 2 processes that follow the declaration
    When an unreachable process announces version 999 to the second process
    Then the second process still fetches the next declaration from its peer
