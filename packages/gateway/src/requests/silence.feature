Feature: A runner that is silent for a second does not end its requests

  Scenario Outline: A stream is not lost when a runner pauses beside a change of the declaration
    Given a gateway and a runner "first"
    And a runner "second"
    And the first runner tried pauses for 1500 ms after event 2, the other <other>
    When a caller sends "/story/1"
    And the declaration changes while the runner pauses
    Then the caller gets events "1 2 3 4" once each and a proper end

    Examples:
      | other                       |
      | refuses as not run          |
      | closes without an answer    |
      | answers with status 500     |
      | accepts and sends no answer |
      | begins and closes           |

  Scenario: A stream is not lost when a runner pauses and cannot be replaced
    Given a gateway without a retry budget and a runner "first"
    And a runner "second"
    And the first runner tried pauses for 1500 ms after event 2, the other resumes
    When a caller sends "/story/1"
    Then the caller gets events "1 2 3 4" once each and a proper end
    And 1 request reached runners

  Scenario: A stream stays at the only runner while it pauses
    Given a gateway and a runner "only"
    And the first runner tried pauses for 1500 ms after event 2, the other resumes
    When a caller sends "/story/1"
    Then the caller gets events "1 2 3 4" once each and a proper end
    And 1 request reached runners

  Scenario: A stream that begins late is not lost when no other runner accepts it
    Given a gateway and a runner "first"
    And a runner "second"
    And the first runner tried begins after 700 ms, the other refuses as not run
    When a caller sends "/story/1"
    Then the caller gets events "1 2 3 4" once each and a proper end

  Scenario: A lookup is not lost when its runner pauses and no other accepts it
    Given a gateway and a runner "first"
    And a runner "second"
    And the first runner tried answers "12" after 700 ms, the other refuses as not run
    When a caller sends "/lookup/1"
    Then the caller gets status 200 and "12" with the runner's mark

  Scenario: A lookup at a silent runner returns to one that had no capacity
    Given a gateway and a runner "first"
    And a runner "second"
    And the first runner tried sends no answer, the other refuses once and then answers "12"
    When a caller sends "/lookup/1"
    Then the caller gets status 200 and "12" with the runner's mark

  Scenario: The attempt that a runner goes on with is not run elsewhere
    Given a gateway and a runner "first"
    And a runner "second"
    And the first runner tried pauses for 1500 ms after event 2, the other accepts and sends no answer
    When a caller sends "/story/1"
    Then the caller gets events "1 2 3 4" once each and a proper end
    And 2 requests reached runners
    And the last request's connection to its runner is closed

  Scenario: A silent attempt is cancelled once another runner has begun
    Given a gateway and a runner "first"
    And a runner "second"
    And the first runner tried stops after event 2, the other resumes
    When a caller sends "/story/1"
    Then the caller gets events "1 2 3 4" once each and a proper end
    And the connection of the silent attempt is closed

  Scenario: A caller that disconnects cancels a silent attempt and its successor
    Given a gateway and a runner "first"
    And a runner "second"
    And the first runner tried stops after event 2, the other accepts and sends no answer
    When a caller sends "/story/1"
    And the caller disconnects once 2 requests have reached runners
    Then all runners see their connections close

  Scenario: A caller that reads slowly does not make its runner silent
    Given a gateway and a runner "first"
    And a runner "second"
    And each runner sends a stream of 32 MiB
    When a caller sends "/story/1" and reads nothing for 1500 ms
    Then the caller gets all 32 MiB and a proper end
    And 1 request reached runners

  Scenario: A stalled event loop does not make a runner silent
    Given a gateway and a runner "first"
    And a runner "second"
    And each runner pauses for 600 ms after event 2 and sends event 3 at the start of a stall of 600 ms
    When a caller sends "/story/1"
    Then the caller gets events "1 2 3 4" once each and a proper end
    And 1 request reached runners
