Feature: Broken invariants in programs

  Scenario: Tests stop at a broken invariant
    When the invariant "test-invariant" is broken
    Then it has thrown code 9001

  Scenario: A running program logs and counts it and goes on
    Given a program that logs broken invariants
    When the invariant "test-invariant" is broken
    Then nothing was thrown, one line names "test-invariant" and it is counted
