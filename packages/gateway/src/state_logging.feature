Feature: State changes of a gateway are logged with their inputs

  Scenario: The gateway becomes ready
    Given a logged gateway with declaration 6 and a runner
    Then it logs "ready" with "version" 6 and "runners" 1

  Scenario: A runner is avoided after failures and trusted after an answer
    Given a logged gateway with declaration 6 and a runner
    When the runner closes the connections of 2 lookups
    Then it logs "runner-avoided" with "lostInARow" 2 and "durationMs" 500
    When the runner answers a lookup
    Then it logs "runner-trusted" for the runner

  Scenario: A runner states a limit, another one and none any more
    Given a logged gateway with declaration 6 and a runner
    When the runner answers a lookup and states a limit of 90000 a second
    Then it logs "runner-limit-begun" with "perSecond" 90000
    When the runner answers a lookup and states a limit of 50000 a second
    Then it logs "runner-limit-changed" with "perSecond" 50000 and "beforePerSecond" 90000
    When the runner answers a lookup
    Then it logs "runner-limit-ended" with "beforePerSecond" 50000

  Scenario: An answer breaks off after it has begun
    Given a logged gateway with declaration 6 and a runner
    When the runner breaks off its answer to a prompt of parts "base,tool,own"
    Then it logs that the answer broke off, with shared parts "base tool"

  Scenario: The same request breaks off twice and another one once
    Given a logged gateway with declaration 6 and a runner
    When the runner closes the connections of 2 lookups
    And the runner closes the connections of 2 other lookups
    Then the ends of the first two have the same request key and the others another one
