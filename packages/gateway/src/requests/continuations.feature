Feature: Streams go on only where they were broken off

  # Guards against bytes in the middle of a stream that do not belong to it, and
  # streams that end as if they were complete (ORDER and MIXED in issue 51).
  Scenario Outline: A success that does not go on with a stream is not joined to it
    Given a gateway and a runner "first"
    And a runner "second"
    And the first runner tried breaks off in event 3, the other sends <answer>
    When a caller sends "/story/1"
    Then the caller gets events "1 2" and no proper end
    And it gets nothing of the second answer

    Examples:
      | answer                                 |
      | a status without content               |
      | a part of the content                  |
      | an accepted status                     |
      | a JSON document                        |
      | a page in chunks                       |
      | a page that ends with the connection   |
      | compressed events                      |
      | no bytes                               |
      | no chunks                              |
      | no bytes before the connection ends    |
      | text that is no event                  |
      | chunks of text that are no event       |
      | an event without an id                 |
      | only a comment                         |
      | the stream from its start              |
      | the last event once more               |

  Scenario: Comments before the next event are joined to the stream
    Given a gateway and a runner "first"
    And a runner "second"
    And the first runner tried breaks off in event 3, the other sends a comment and the next events
    When a caller sends "/story/1"
    Then the caller gets events "1 2 3 4" once each and a proper end

  # Guards against events that a caller gets twice, since a runner cannot be told
  # where to go on.
  Scenario: A stream whose events have no ids is not resumed
    Given a gateway and a runner "first"
    And a runner "second"
    And the first runner tried breaks off after events without ids, the other resumes
    When a caller sends "/story/1"
    Then the caller gets events "" and no proper end
    And 1 request reached runners

  Scenario: A stream that breaks off after comments alone begins at another runner
    Given a gateway and a runner "first"
    And a runner "second"
    And the first runner tried breaks off after a comment, the other resumes
    When a caller sends "/story/1"
    Then the caller gets events "3 4" once each and a proper end

  # Guards against events that a caller who takes a stream up gets twice, since the
  # runner begins at its start.
  Scenario Outline: A stream that a caller takes up goes on after its last event
    Given a gateway and a runner "first"
    And a runner "second"
    And the first runner tried sends <answer>, the other resumes
    When a caller sends "/story/1" with "x-after-event: 2"
    Then the caller gets events "3 4" once each and a proper end

    Examples:
      | answer                    |
      | the stream from its start |
      | the last event once more  |

  Scenario: A stream that a caller takes up after its last event is complete
    Given a gateway and a runner "first"
    And the runner sends no chunks
    When a caller sends "/story/1" with "x-after-event: 4"
    Then the caller gets events "" once each and a proper end

  # Guards against a success that is cut after its head, though it could have been
  # read whole or failed (MIXED in issue 51).
  Scenario Outline: A first answer that is no stream is relayed whole or not at all
    Given a gateway and a runner "first"
    And the runner sends <answer>
    When a caller sends "/summary/1"
    Then the caller gets status <status>

    Examples:
      | answer                          | status |
      | a JSON document                 | 200    |
      | a JSON document that is cut off | 502    |
      | a part of the content           | 206    |
      | a page that is cut off          | 502    |
