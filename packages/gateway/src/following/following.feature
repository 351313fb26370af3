Feature: Copies of the platform's store outlive its outages

  Scenario: A runner that went missing in an outage is kept until it may be back
    Given a follower that knows runners "a b"
    When the store is away and runner "b" lapses
    And the store is back
    Then the follower still knows "a b"
    When 3000 ms pass
    Then the follower knows "a"

  Scenario: A runner that is back in time stays
    Given a follower that knows runners "a b"
    When the store is away and runner "b" lapses
    And the store is back
    And runner "b" is back
    When 3000 ms pass
    Then the follower knows "a b"

  Scenario: A runner that leaves while the store is up is gone at once
    Given a follower that knows runners "a b"
    When runner "b" lapses
    Then the follower knows "a"

  Scenario: A store that does not answer is asked seldom
    Given a follower that knows runners "a"
    When the store is away for 10000 ms
    Then it was asked between 8 and 40 times meanwhile

  Scenario: An older declaration never replaces a newer one
    Given a gateway with declaration 5
    When declaration 4 is written
    Then declaration 5 is in force
    When declaration 9 is written
    Then declaration 9 is in force
