Feature: Settings of a gateway change without a restart where they can

  Background:
    Given a settings file of a gateway

  Scenario: SIGHUP applies what has changed
    When the grace time in the file becomes 20 and the process gets SIGHUP
    Then the grace time of 20 is applied

  Scenario: SIGHUP without a change does nothing
    When the process gets SIGHUP
    Then nothing is applied

  Scenario: A file that cannot be read leaves the settings as they are
    When the file becomes unreadable and the process gets SIGHUP
    Then nothing is applied and code 6003 is logged
