Feature: Findings in parsed documents

  Scenario Outline: Settings that contradict each other
    Given defaults with "<setting>" at <value>
    Then the declaration has the finding "<finding>" at "<path>"
    And none with "<setting>" at <sound>

    Examples:
      | setting                      | value | sound | finding            | path                                  |
      | load.spillMultiple           | 1.5   | 1.2   | minimumOverMaximum | defaults.load.spillMultiple           |
      | load.capMultiple             | 1.01  | 1.04  | minimumOverMaximum | defaults.load.capMultiple             |
      | retry.baseDelayMs            | 1001  | 1000  | minimumOverMaximum | defaults.retry.baseDelayMs            |
      | retry.maximumDelayMs         | 20    | 25    | minimumOverMaximum | defaults.retry.maximumDelayMs         |
      | retry.budgetRatio            | 0     | 0.01  | noRetryAllowed     | defaults.retry.budgetRatio            |
      | membership.holdDownMs        | 5000  | 4000  | minimumOverMaximum | defaults.membership.holdDownMs        |
      | membership.digestPeriodMs    | 10000 | 9999  | minimumOverMaximum | defaults.membership.digestPeriodMs    |
      | ledger.groupCommitMs         | 10000 | 9999  | minimumOverMaximum | defaults.ledger.groupCommitMs         |
      | ledger.windowMs              | 20000 | 30000 | minimumOverMaximum | defaults.ledger.windowMs              |
      | workspace.tokensPerSecond    | 99    | 100   | minimumOverMaximum | defaults.workspace.tokensPerSecond    |
      | admission.targetFirstTokenMs | 10001 | 10000 | goalOverLimit      | defaults.admission.targetFirstTokenMs |
      | stream.betweenChunksMs       | 46    | 47    | goalOverLimit      | defaults.stream.betweenChunksMs       |
      | stream.firstByteMs           | 60001 | 60000 | limitOverDeadline  | defaults.stream.firstByteMs           |

  Scenario: A short deadline contradicts no limit that nobody has set
    Then there is no finding with "request.deadlineMs" at 500

  Scenario Outline: Exceptions that have no effect
    Given exceptions for <exceptions>
    Then the only finding is "<finding>" at "<path>"

    Examples:
      | exceptions                                      | finding                | path                                           |
      | w1 with 7, then w1 with 8                       | exceptionOverridden    | exceptions[0].set.retry.maximumAttempts        |
      | w1+desk with 7, then desk with 8                | exceptionOverridden    | exceptions[0].set.retry.maximumAttempts        |
      | w1 with 3                                       | exceptionEqualsDefault | exceptions[0].set.retry.maximumAttempts        |
      | assistant+desk with 7                           | exceptionNeverMatches  | exceptions[0].match                            |
      | w1+host with 7                                  | exceptionNeverMatches  | exceptions[0].match                            |

  Scenario Outline: Exceptions that have an effect
    Given exceptions for <exceptions>
    Then the declaration has no finding

    Examples:
      | exceptions                                 |
      | w1 with 7, then w2 with 8                  |
      | desk with 7, then w1+desk with 8           |
      | desk with 7, then w1 with 3                |
      | desk with 7, then w1 with 8                |
      | host+assistant with 7, then desk with 8    |

  Scenario: A value equal to the default may override another exception only where both can match
    Given exceptions for host with 7, then w1 with 3
    Then the only finding is "exceptionEqualsDefault" at "exceptions[1].set.retry.maximumAttempts"

  Scenario: Deadlines of classes
    Given a class with a deadline of 1000 ms and an exception for it with 2000 ms
    Then the only finding is "limitOverDeadline" at "exceptions[0].set.request.deadlineMs"
    Given a class with a deadline of 1000 ms and an exception for it with 900 ms
    Then the declaration has no finding

  Scenario Outline: Settings that some look-ups do not know
    Given an exception for <match> that sets <setting>
    Then the only finding is "exceptionNeverMatches" at "exceptions[0].set.<setting>"

    Examples:
      | match | setting                     |
      | desk  | workspace.requestsPerSecond |
      | class | request.class               |

  Scenario: A longer prefix hides only its own paths
    Then routes "/a/", "/a/b/" and "/" of one host have no finding
    And routes "/a/", "/b/" and "/a/" of one host have the finding "hiddenRoute" at "routes[2].pathPrefix"
