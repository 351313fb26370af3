Feature: Storage and comparison of declarations

  Scenario: Splitting and joining preserve a declaration
    Then 100 random declarations are unchanged by splitting and joining, seed 21

  Scenario: A change of one workspace changes one part
    Given a declaration of 24000 workspaces
    When the keys of one workspace change
    Then 1 part and the manifest change, below 40000 bytes together
    And a process that uses no workspaces needs at most 2 parts

  Scenario: Fields of a newer version are tolerated and kept
    Given a declaration with fields of a newer version
    Then it can be parsed, without the exception that has an unknown match
    And its stored text still has the fields

  Scenario: Content that does not match its hash is refused
    Given a declaration of 2000 workspaces
    Then a changed text, a changed part and an absent part are refused

  Scenario: Two editors change different values
    Given a base declaration that two editors change
    When one changes a key of a workspace and the other adds an exception
    Then the comparison lists both changes and merges them

  Scenario: Two editors change the same value
    Given a base declaration that two editors change
    When both change the same default in different ways
    Then the comparison lists the conflict with all three values
