Feature: Checking histories of concurrent runs

  Scenario: A valid history has no violations
    Given a valid history
    When the history is checked
    Then no violation is found

  Scenario Outline: An injected violation is detected
    Given a valid history with <violation>
    When the history is checked
    Then only "<check>" is violated, by "<subject>"

    Examples:
      | violation                                       | check                       | subject  |
      | a refund that took effect twice                 | at-most-once                | key-1    |
      | an effect of a refund reported as not run       | not-run-promise             | key-2    |
      | a chat that ran though reported as not run      | not-run-promise             | chat-2   |
      | an answered refund without effect               | not-run-promise             | key-1    |
      | an answer of another chat                       | own-whole-answer            | chat-1   |
      | a truncated answer                              | own-whole-answer            | chat-1   |
      | an answer with a repeated token                 | own-whole-answer            | chat-1   |
      | a balance of another account                    | own-whole-answer            | lookup-1 |
      | a process that reverts to an older version      | configuration-never-reverts | router-1 |
      | a second answer that differs for a key          | money-key-linearizable      | key-1    |
      | a different body answered for a key             | money-key-linearizable      | key-1    |
      | a key refused as used before its first use      | money-key-linearizable      | key-4    |
      | an outcome of a call that was never sent        | well-formed                 | chat-9   |
      | two outcomes of one call                        | well-formed                 | chat-1   |

  Scenario: Concurrent calls of one key may be ordered either way
    Given two concurrent calls of one key with different bodies
    When the history is checked
    Then no violation is found

  Scenario: The parser throws only errors with a code
    Then no line from seed 11 makes the parser throw an error without a code

  Scenario: Any history of a write-once register is accepted
    Then histories of a simulated register from seed 12 have no violations
