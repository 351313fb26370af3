Feature: Checking histories of concurrent runs

  Scenario: A sound history has no violation
    Given a sound history
    When the history is checked
    Then no violation is found

  Scenario Outline: A planted violation is caught
    Given a sound history with <violation>
    When the history is checked
    Then only "<check>" is violated, by "<subject>"

    Examples:
      | violation                                       | check                       | subject  |
      | a refund that took effect twice                 | at-most-once                | key-1    |
      | an effect of a refund reported as not run       | not-run-promise             | key-2    |
      | a chat that ran though reported as not run      | not-run-promise             | chat-2   |
      | an answered refund without effect               | not-run-promise             | key-1    |
      | an answer of another chat                       | own-whole-answer            | chat-1   |
      | an answer cut short                             | own-whole-answer            | chat-1   |
      | an answer with a repeated part                  | own-whole-answer            | chat-1   |
      | a balance of another account                    | own-whole-answer            | lookup-1 |
      | a process that goes back to an older version    | configuration-never-reverts | router-1 |
      | a second answer that differs for a key          | money-key-linearizable      | key-1    |
      | another body answered for a used key            | money-key-linearizable      | key-1    |
      | a key refused as used before its first use      | money-key-linearizable      | key-4    |
      | an answer to a call that was never sent         | well-formed                 | chat-9   |
      | two answers to one call                         | well-formed                 | chat-1   |

  Scenario: Calls of one key at the same moment may be ordered either way
    Given two calls of one key with different bodies at the same moment
    When the history is checked
    Then no violation is found

  Scenario: No line makes the parser throw anything but a coded error
    Then no line from seed 11 makes the history parser throw an uncoded error

  Scenario: Any history of a register that is set once is accepted
    Then histories of a simulated register from seed 12 have no violation
