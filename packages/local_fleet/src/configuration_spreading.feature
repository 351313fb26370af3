Feature: A declaration comes into force everywhere

  Scenario: The platform goes down right after it accepted a declaration
    Given a local fleet
    When an operator publishes a change and the platform goes down
    Then every process has the new version

  Scenario: A router starts while the platform is down
    Given a local fleet
    When the platform goes down and another router starts
    Then the other router is ready with the version of its peers

  Scenario: The answer to a publication is lost
    Given a local fleet
    When an operator publishes a change and no write is answered
    Then the operator is told the version that was accepted
    And every process has the new version

  Scenario: Two operators race each other
    Given a local fleet
    When two operators publish changes made from the same version
    Then one is accepted and the other is told of the conflict
