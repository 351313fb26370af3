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

  # Guards against runners that are used after their bound, since a connection that
  # fell silent counted as an outage of the store (review/9).
  Scenario: A runner that is removed while one call is lost is gone with the next
    Given a follower with runners "a b"
    When one call to the store is lost, and runner "b" is removed before the next
    Then the follower has runners "a"

  # Guards against the same after a watch that the store cut off (review/9).
  Scenario: A runner that is removed after one call was lost is removed at once
    Given a follower with runners "a b"
    When one call to the store is lost and the next one is answered
    And runner "b" expires
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

  Scenario: Runners of a store restored from a copy are kept until they return
    Given a follower with runners "a b"
    And a copy of the store
    When runner "c" registers again
    And the store is restored from the copy
    And 1000 ms pass
    Then the follower still has runners "a b c"
    When 3000 ms pass
    Then the follower has runners "a b"

  Scenario: A runner that writes itself again after a restore is kept
    Given a follower with runners "a b"
    And a copy of the store
    When runner "c" registers again
    And the store is restored from the copy
    And 1000 ms pass
    And runner "c" registers again
    And 3000 ms pass
    Then the follower has runners "a b c"

  Scenario: A runner that left before a restore does not return by an old entry
    Given a gateway with the runners "a b"
    And a copy of its store
    When runner "a" drains and runner "b" is removed
    And its store is restored from the copy
    Then runner "a" drains and runner "b" is not known
    When its store is restored from the copy
    Then runner "a" drains and runner "b" is not known
    When runners "a b" write their entries again with a later heartbeat
    Then runners "a b" are ready

  # Guards against a list after the first one of a restored store that brings back
  # a runner which has left (review/5).
  Scenario: A runner that left before a restore does not return by a later list
    Given a gateway with the runners "a b"
    And a copy of its store
    When runner "a" drains and runner "b" is removed
    And its store is restored from the copy
    And its store forgets its history
    Then runner "a" drains and runner "b" is not known
    When runners "a b" write their entries again with a later heartbeat
    And its store forgets its history
    Then runners "a b" are ready

  Scenario: A restore during an outage is noticed
    Given a gateway with the runners "a b"
    And a copy of its store
    When runner "a" drains and runner "b" is removed
    And its store is restored from the copy while it is unavailable
    Then runner "a" drains and runner "b" is not known

  Scenario: A declaration of a restored store never replaces a newer one
    Given a gateway with declaration 5
    And a copy of the declarations
    When declaration 9 is written
    And the declarations are restored from the copy
    Then declaration 9 is current
    When declaration 10 is written
    Then declaration 10 is current

  Scenario: A paused follower makes no calls and takes what others send
    Given a follower with runners "a b"
    When the follower is paused
    And 5000 ms pass
    Then it has made at most 1 more call
    When another process sends that "c" was added and "a" was removed
    Then the follower has runners "b c"
    When the follower is resumed
    And runner "d" registers again
    Then the follower has runners "b c d"

  Scenario: What another process keeps after an outage is kept here too
    Given a follower with runners "a b"
    When the follower is paused
    And another process after an outage sends that "b" was removed
    Then the follower still has runners "a b"
    When 2500 ms pass
    Then the follower has runners "a"

  Scenario: A process that lags behind gets what it lacks
    Given a follower with runners "a b"
    When runner "c" registers again
    And runner "a" expires
    And 200 ms pass
    Then a process at the first position gets "c" and that "a" is gone
    And a process of an earlier epoch gets all of "b c"
    And a process that is ahead gets nothing

  Scenario: A store that lists what has expired is not asked all the time
    Given a follower with runners "a"
    When the store reports every watch as expired for 10000 ms
    Then it receives between 8 and 60 calls in that time

  Scenario: A late answer of the store does not undo what others sent
    Given a follower with runners "a b"
    When the store is unavailable for 500 ms
    And the store leaves the next watch unanswered
    And another process sends that "c" was added and "a" was removed
    And another process sends that "d" was added and "c" was removed
    And runner "e" registers again
    And the store answers the watch
    Then the follower has runners "b d e"
