Feature: What a gateway comes to believe is logged with its inputs

  Scenario: It knows enough to serve
    Given a logged gateway with declaration 6 and a runner
    Then it logs "ready" with "version" 6 and "runners" 1

  Scenario: A runner that loses requests, and one that answers again
    Given a logged gateway with declaration 6 and a runner
    When the runner cuts 2 lookups off
    Then it logs "runner-avoided" with "lostInARow" 2 and "durationMs" 500
    When the runner answers a lookup
    Then it logs "runner-trusted" for the runner
