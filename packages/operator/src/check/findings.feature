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
      | noColdRequest          | warning  | 0    |
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
      | repeatedService        | warning  | 0    |
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
