Feature: Platform stand-in
  The stand-in has the rate limits, delays and faults of the real platform, so
  that tests find processes that rely on a platform that always succeeds.

  Background:
    Given a platform stand-in that allows 5 reads and 3 writes per second

  Scenario: Calls above the rate limit are refused for a time
    When an object is written 4 times
    Then the last write is limited with status 429
    When a second passes on the platform
    Then a write is accepted again

  Scenario: A waiting watch counts as a read
    When 5 watches wait for an object
    Then a read is limited with status 429

  Scenario: A deleted object never returns to a lower version
    When an object is written, deleted at its version and written again
    Then its version is higher than before
    And a deletion at the old version is a conflict

  Scenario: A watch ends when its object is deleted
    When an object is deleted while it is watched
    Then the watch ends with status 404

  Scenario: The answer of a write that took effect is lost
    When the platform loses answers of writes and an object is written
    Then the writer gets no answer and the object exists

  Scenario: A stale read returns the object before its last write
    When the platform serves stale reads and an object is written twice
    Then a read returns the first value

  Scenario: An outage ends waiting watches and refuses all calls
    When an outage begins while an object is watched
    Then the watch and other reads get no answer

  Scenario: The host list shows changes with a delay
    When a host is put and marked as leaving over HTTP
    Then the list shows it as leaving only after the delay
    When the host is removed over HTTP
    Then the list is empty only after the delay

  Scenario: Every answer states the epoch of the store
    Then reads, writes, watches, refusals and the host list state epoch 0
    When the store is restored from a copy
    Then reads, writes, watches, refusals and the host list state epoch 1
    When the store is restored from a copy
    Then reads, writes, watches, refusals and the host list state epoch 2

  Scenario: A restored store has lost the last writes and gives out their versions again
    When an object is written, the store is copied and the object is written again
    And the platform is restored from the copy
    Then a read returns the first value
    And the next write gets the version of the lost one

  Scenario: A restore ends waiting watches
    When the store is restored while an object is watched
    Then the watch ends with status 200 in epoch 1

  Scenario: A watch from a version that the restored store does not have is expired
    When an object is written, the store is copied and the object is written again
    And the platform is restored from the copy
    Then a watch from the lost version ends with status 410

  Scenario: A call that expects the epoch before a restore is refused
    When an object is written, the store is copied and the object is written again
    And the platform is restored from the copy
    And the object is written again
    Then a write on the lost version that expects epoch 0 is a conflict
    And a watch from the first version that expects epoch 0 ends with status 410
    And a write on the lost version that expects epoch 1 is accepted
