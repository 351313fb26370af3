Feature: Every process follows the accepted declaration

  Scenario: Outages, slow and stale reads, and exchanges between processes
    Then 60 random runs end with the last accepted declaration, seed 51

  Scenario: A peer gives a body that does not match its hash
    Given 2 processes that follow the declaration
    When a peer gives the second another body under the same hash
    Then the second keeps what it has and takes the true body later

  Scenario: A peer that does not answer holds no decision up for long
    Given 2 processes that follow the declaration
    When a peer names a version and does not answer
    Then the wait of the second ends after 250 ms of virtual time

  Scenario: An older declaration changes nothing
    Given 2 processes that follow the declaration
    When a newer declaration is in force and the older one is applied
    Then the newer one stays

  Scenario: A process names a version that nobody has
    Given 2 processes that follow the declaration
    When the second hears of version 999 from a process that does not exist
    Then it still takes the next declaration from its peer
