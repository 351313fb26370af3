Feature: Propagation of a declaration to every process

  Scenario: The platform fails right after it has accepted a declaration
    Given a local fleet
    When an operator publishes a change and the platform goes down
    Then every process has the new version

  Scenario: A router starts while the platform is down
    Given a local fleet
    When the platform goes down and another router starts
    Then the other router is ready with the version of its peers

  Scenario: The platform's answer to a publication is lost
    Given a local fleet
    When an operator publishes a change and the answer to the write is lost
    Then the operator receives the version that was accepted
    And every process has the new version

  Scenario: Two operators publish concurrently
    Given a local fleet
    When two operators publish changes based on the same version
    Then one is accepted and the other is refused with a version conflict
