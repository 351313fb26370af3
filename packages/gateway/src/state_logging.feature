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

  Scenario: An answer breaks off after it has begun
    Given a logged gateway with declaration 6 and a runner
    When the runner breaks off its answer to a prompt of parts "base,tool,own"
    Then it logs that the answer broke off, with shared parts "base tool"
