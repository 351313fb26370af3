Feature: Some settings of a gateway change without a restart

  Background:
    Given a settings file of a gateway

  Scenario: SIGHUP applies changed settings
    When the grace time in the file becomes 20 and the process receives SIGHUP
    Then the grace time of 20 is applied

  Scenario: SIGHUP without a change does nothing
    When the process receives SIGHUP
    Then nothing is applied

  Scenario: An invalid file leaves the settings unchanged
    When the file becomes invalid and the process receives SIGHUP
    Then nothing is applied and code 6003 is logged
