Feature: Declarations after the store was restored from a copy

  Background:
    Given 4 processes that follow the declarations of a store
    And declaration "a" is published and the store is copied

  Scenario: A declaration in force never goes back and is written again
    When declaration "b" is published
    And the store of declarations is restored from the copy
    Then the processes have "b" at all times
    And the store holds declaration "b" with its version
    And a process that starts has "b"

  Scenario: The parts of a long declaration are written again
    When long declaration "b" is published
    And the store of declarations is restored from the copy
    Then the processes have "b" at all times
    And the store holds declaration "b" with its version

  Scenario: A store that lost every declaration gets the one in force
    When declaration "b" is published
    And the store of declarations is restored empty
    Then the processes have "b" at all times
    And the store holds declaration "b" with its version

  Scenario: A newer declaration of the operators wins
    When declaration "b" is published
    And declaration "c" is published
    And the store of declarations is restored from the copy
    And declaration "d" is published before the processes notice
    Then the processes come to have "d"
    And the store holds declaration "d" with its version

  Scenario: A version is not given out again by two restores in a row
    When declaration "b" is published
    And the store of declarations is restored from the copy
    And declaration "c" is published before the processes notice
    Then the processes come to have "c"
    When the store of declarations is restored from the copy
    And declaration "d" is published before the processes notice
    Then the processes come to have "d"
    When the store of declarations is restored from the copy
    And the store of declarations is restored from the copy
    Then the processes have "d" at all times
    And each version had one declaration

  Scenario: A process that was down does not apply what the copy holds
    When declaration "b" is published
    And the store of declarations is restored while nobody writes again
    Then a process that starts has "b" at once
