Feature: Findings in documents without faults

  Scenario Outline: An example of each kind is found, and nothing else in it
    When the operator checks the example of "<finding>"
    Then its only finding is a "<severity>" on the line that names it
    And the check exits with <code>, and with 1 if it is strict

    Examples:
      | finding                | severity | code |
      | classDeadlineAlways    | warning  | 0    |
      | exceptionEqualsDefault | warning  | 0    |
      | exceptionNeverMatches  | warning  | 0    |
      | exceptionOverridden    | warning  | 0    |
      | hiddenRoute            | warning  | 0    |
      | hiddenServiceRoute     | warning  | 0    |
      | noCallerKey            | error    | 1    |
      | pauseGoalWithoutStream | warning  | 0    |
      | prefixNeverMatches     | error    | 1    |
      | routeWithoutService    | error    | 1    |
      | serviceWithoutRoute    | warning  | 0    |
      | undeclaredService      | error    | 1    |
      | workspaceWithoutKeys   | warning  | 0    |
      | goalOverLimit          | warning  | 0    |
      | limitOverDeadline      | warning  | 0    |
      | minimumOverMaximum     | warning  | 0    |
      | noAttemptAllowed       | error    | 1    |
      | noRetryAllowed         | warning  | 0    |
      | repeatedKey            | error    | 1    |
      | repeatedName           | error    | 1    |
      | resumeOfNonStream      | error    | 1    |
      | sharesWithoutSum       | warning  | 0    |
      | stopBeforeNotice       | warning  | 0    |
      | tooFewRunners          | warning  | 0    |

  Scenario: There is an example of every kind of finding
    Then the examples are those of all kinds of findings
    And the operators' page lists all of them with their severity

  Scenario: The example fleets have no findings, and their report is as before
    When the operator checks "examples/local"
    Then the check prints exactly "10 files without faults" and exits with 0
    When the operator checks "examples/vozikovy --strict"
    Then the check prints exactly "23 files without faults" and exits with 0
    When the operator checks "examples/lanternway --strict"
    Then the check prints exactly "21 files without faults" and exits with 0

  Scenario: What differs from another file, in the order of who is affected
    When a routes document is checked against one with other keys and limits
    Then the changes are, in this order:
      | path                              | affects               |
      | callerLimits.maxBodyBytes         | 2 workspaces, 3 routes |
      | services[engine].coldPerSecond    | 2 routes, 1 service   |
      | workspaces[kiosk].apiKeys         | 1 workspace           |
      | routes[lookup].timeoutMs          | 1 route               |
    And no API key is printed

  Scenario: What differs of a declaration, in the order of who is affected
    When a declaration is checked against one with other defaults and keys
    Then the changes are, in this order:
      | path                                              | affects                  |
      | defaults.request.maximumBodyBytes                 | 3 workspaces, 2 services |
      | defaults.retry.maximumAttempts                    | 2 workspaces, 2 services |
      | classes[interactive].priority                     | 2 workspaces             |
      | workspaces[w1].keyHashes                          | 1 workspace              |
      | exceptions[service=desk].set.load.capMultiple     | 1 service                |
      | exceptions[host=h].set.load.capMultiple           | -                        |

  Scenario: What differs from the routes in force at a gateway
    Given a gateway with its test routes in force
    When the operator checks those routes with another time limit against it
    Then the changes are, in this order:
      | path                      | affects |
      | routes[lookup].timeoutMs  | 1 route |
    When the operator checks those routes against a closed port
    Then the check exits with 4

  Scenario: A document that cannot be compared
    When the operator checks the example of "hiddenRoute" against a declaration
    Then the check exits with 2
