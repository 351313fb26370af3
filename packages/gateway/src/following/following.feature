Feature: Copies of stored objects survive outages of the platform's store

  Scenario: A runner that expires in an outage is kept until it can register again
    Given a follower with runners "a b"
    When runner "b" expires while the store is unavailable
    And the store is available again
    Then the follower still has runners "a b"
    When 3000 ms pass
    Then the follower has runners "a"

  Scenario: A runner that registers again in time is kept
    Given a follower with runners "a b"
    When runner "b" expires while the store is unavailable
    And the store is available again
    And runner "b" registers again
    When 3000 ms pass
    Then the follower has runners "a b"

  Scenario: A runner that expires while the store answers is removed at once
    Given a follower with runners "a b"
    When runner "b" expires
    Then the follower has runners "a"

  Scenario: A store that does not answer receives few calls
    Given a follower with runners "a"
    When the store is unavailable for 10000 ms
    Then it receives between 8 and 40 calls in that time

  Scenario: An older declaration never replaces a newer one
    Given a gateway with declaration 5
    When declaration 4 is written
    Then declaration 5 is current
    When declaration 9 is written
    Then declaration 9 is current
