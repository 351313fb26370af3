Feature: At-most-once calls
  A call with an idempotency key takes effect at most once, whatever fails. A
  call that is reported as not run was never run.

  Background:
    Given a journal and the sidecars "one" and "two"

  Scenario: The answer to a successful journal write is lost
    Given "one" owns the shard
    When a call with key "k1" arrives at "one"
    And the answer to its write is lost
    Then "one" has dispatched key "k1" 1 time

  Scenario: A repeated call gets the whole stored answer
    Given "one" owns the shard
    When a call with key "k1" arrives at "one"
    And the runner answers "refunded"
    And a call with key "k1" arrives at "one"
    Then the last answer is "refunded", stored
    And "one" has dispatched key "k1" 1 time

  Scenario Outline: A key is used again
    Given "one" owns the shard
    When a call with key "k1" arrives at "one"
    And <step>
    And a call with key "k1" and body "<body>" arrives at "one"
    Then the last answer is refused as <result> with executed "<executed>"

    Examples:
      | step                           | body  | result     | executed |
      | the runner answers "refunded"  | other | keyReused  | no       |
      | the runner has not answered    | same  | keyRunning | unknown  |

  Scenario Outline: The owner crashes and another sidecar takes over
    Given "one" owns the shard
    When a call with key "k1" arrives at "one"
    And "one" crashes <moment>
    And "two" takes over
    And a call with key "k1" arrives at "two"
    Then the last answer is <answer>
    And key "k1" was dispatched at most 1 time

    Examples:
      | moment                          | answer                                              |
      | after the intent is written     | refused as outcomeUnknown with executed "unknown"   |
      | after the dispatch              | refused as outcomeUnknown with executed "unknown"   |
      | before the outcome is written   | refused as outcomeUnknown with executed "unknown"   |
      | after the outcome is written    | "refunded", stored                                  |

  Scenario: The owner crashes before the intent is written
    Given "one" owns the shard
    And the platform is down for 1 seconds
    When a call with key "k1" arrives at "one"
    And "one" crashes before the intent is written
    And "two" takes over
    And a call with key "k1" arrives at "two"
    Then "one" has dispatched key "k1" 0 times
    And "two" has dispatched key "k1" 1 time

  Scenario: A live owner keeps its shard
    Given "one" owns the shard
    When a call with key "k1" arrives at "two", which may claim the shard
    And 20 seconds pass at the ledger
    Then the last answer names the owner "one"

  Scenario: The owner is paused beyond its lease between commit and dispatch
    Given "one" owns the shard
    When a call with key "k1" arrives at "one"
    And "one" is paused while its write is answered
    And "two" takes over
    And "one" resumes
    Then "one" has dispatched key "k1" 0 times
    And the last answer is refused as ledgerUnavailable with executed "unknown"

  Scenario: The owner is paused beyond its lease between dispatch and outcome
    Given "one" owns the shard
    When a call with key "k1" arrives at "one"
    And 1 seconds pass at the ledger
    And "one" is paused
    And "two" takes over
    And a call with key "k1" arrives at "two"
    Then the last answer is refused as outcomeUnknown with executed "unknown"
    When "one" resumes
    And the runner answers "refunded"
    Then the last answer is "refunded", new
    And key "k1" was dispatched at most 1 time

  Scenario: Two processes consider themselves the owner
    Given "one" owns the shard
    When "one" is paused
    And "two" takes over
    And a call with key "k1" arrives at "one"
    And "one" resumes
    Then the last answer names the owner "two"
    And "one" has dispatched key "k1" 0 times

  Scenario Outline: A retry arrives through a router with another list of sidecars
    Given "one" owns the shard
    When a call with key "k1" arrives at "one"
    And the runner answers "refunded"
    And <event>
    And key "k1" is sent through a router that lists <list>
    Then the last answer is <answer>
    And key "k1" was dispatched at most 1 time

    Examples:
      | event                   | list              | answer                                               |
      | 1 seconds pass at the ledger | "one" and "two" | "refunded", stored                                |
      | 1 seconds pass at the ledger | only "two"      | refused as ledgerUnavailable with executed "unknown" |
      | "one" crashes after the outcome is written | only "two" | "refunded", stored                          |

  Scenario: In refuse mode, calls are refused during an outage of minutes
    Given "one" owns the shard
    And the platform is down for 180 seconds
    When a call with key "k1" arrives at "one"
    Then the last answer is refused as ledgerUnavailable with executed "no"
    When the platform is up again
    And a call with key "k1" arrives at "one"
    Then "one" has dispatched key "k1" 1 time

  Scenario: In open-window mode, calls run during a short outage
    Given the outage mode is "open-window"
    And "one" owns the shard
    And the platform is down for 10 seconds
    When a call with key "k1" arrives at "one"
    Then "one" has dispatched key "k1" 1 time
    When the platform is up again
    And "one" crashes before the outcome is written
    And "two" takes over
    And a call with key "k1" arrives at "two"
    Then the last answer is refused as outcomeUnknown with executed "unknown"

  Scenario: Calls are refused after the open window has passed
    Given the outage mode is "open-window"
    And "one" owns the shard
    And the platform is down for 180 seconds
    When a call with key "k1" arrives at "one"
    Then the last answer is refused as ledgerUnavailable with executed "no"

  Scenario: A forgotten key stays refused
    Given "one" owns the shard
    When a call with key "k1" arrives at "one"
    And the runner answers "refunded"
    And two windows pass with other calls
    And the first call with key "k1" is sent again to "one"
    Then the last answer is refused as keyTooOld with executed "unknown"
    And "one" has dispatched key "k1" 1 time

  Scenario: A key that is too old and was never recorded was not run
    Given "one" owns the shard
    When a call with key "k1" issued 2 windows ago arrives at "one"
    Then the last answer is refused as keyTooOld with executed "no"

  Scenario: Keys without an issue time are kept, and refused once there are too many
    Given "one" owns the shard
    When 16 calls with keys without an issue time are answered by "one"
    And two windows pass with other calls
    And a call with the key "plain-0" without an issue time arrives at "one"
    Then the last answer is "refunded", stored
    When a call with the key "plain-99" without an issue time arrives at "one"
    Then the last answer is refused as keyHistoryFull with executed "no"

  Scenario: A history larger than one object moves to segments and is read from them
    Given a history of 600 seconds and 500 entries
    And "one" owns the shard
    When 300 calls with large answers are answered by "one"
    Then the journal has more than 1 and at most 21 segments in use
    And no object exceeds 400000 bytes
    When "one" crashes after the outcome is written
    And "two" takes over
    And the first of these calls is sent again to "two"
    Then the last answer is a large one, stored
