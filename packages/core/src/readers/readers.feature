Feature: Few processes read the platform's store for a fleet

  Scenario Outline: All processes choose among the same few readers
    Given a fleet of <processes> processes
    Then <readers> of them read the store and each of the others follows one
    And no reader has more than <followers> followers

    Examples:
      | processes | readers | followers |
      | 4         | 4       | 0         |
      | 18        | 1       | 17        |
      | 68        | 2       | 60        |
      | 300       | 8       | 60        |
      | 1000      | 25      | 65        |

  Scenario: Processes on large hosts are preferred as readers
    Given a fleet of 1000 processes, 200 of them with 5.5 times the capacity
    Then at least 15 of the readers are of the large ones

  Scenario: A process that is not listed yet follows a reader too
    Given a fleet of 68 processes
    And one that is not in the list yet
    Then it follows a reader of the others

  Scenario: Processes that do not answer are passed over
    Given a fleet of 68 processes
    When both readers do not answer
    Then 2 others read the store and each of the rest follows one

  Scenario: A process that reaches no other reads the store itself
    Given a fleet of 68 processes
    When no other process answers the last one
    Then the last one reads the store

  Scenario: A message that was held up counts as older than when it was sent
    Given messages of a sender whose clock is 50000 ms ahead
    When one arrives after 5 ms and one after 905 ms
    Then the second is delayed by 900 ms

  Scenario: A message after one that was slow counts as quicker
    Given messages of a sender whose clock is 50000 ms ahead
    When one arrives after 905 ms and one after 5 ms
    Then the second is delayed by -900 ms

  Scenario: Messages of a sender that was suspended count as older
    Given messages of a sender whose clock is 0 ms ahead
    When one arrives after 5 ms, and the sender is suspended for 3000 ms
    Then the next one that arrives after 5 ms is delayed by 3000 ms
