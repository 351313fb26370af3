Feature: Violated invariants in programs

  Scenario: A violated invariant throws in tests
    When the invariant "test-invariant" is violated
    Then an error with code 9001 is thrown

  Scenario: A running program logs and counts the violation and keeps running
    Given a program that logs violated invariants
    When the invariant "test-invariant" is violated
    Then nothing is thrown, "test-invariant" is logged once and counted
