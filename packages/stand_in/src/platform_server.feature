Feature: Platform stand-in
  The stand-in limits, lags and fails as the platform does, so that no process
  can rely on a platform that always succeeds.

  Background:
    Given a platform stand-in that takes 5 reads and 3 writes a second

  Scenario: Calls beyond the rate are refused until time has passed
    When an object is written 4 times
    Then the last write is limited with status 429
    When a second passes on the platform
    Then a write is accepted again

  Scenario: A waiting watch counts as a read
    When 5 watches wait for an object
    Then a read is limited with status 429

  Scenario: A deleted object never takes a lower version again
    When an object is written, deleted at its version and written again
    Then its version is higher than before
    And a deletion at the old version is a conflict

  Scenario: A watch wakes when its object is deleted
    When an object is deleted while it is watched
    Then the watch ends with status 404

  Scenario: The answer of a write that took effect is lost
    When the platform loses the answers of writes and an object is written
    Then the writer has no answer and the object is there

  Scenario: A stale read shows the object before its last write
    When the platform reads stale and an object was written twice
    Then a read has the first value

  Scenario: An outage ends waiting watches and refuses all calls
    When an outage begins while an object is watched
    Then the watch and a read break off

  Scenario: The host list lags behind its hosts
    When a host is put and marked as leaving over HTTP
    Then the list shows it as leaving only after the lag
    When the host is removed over HTTP
    Then the list is empty only after the lag
