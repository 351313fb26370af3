Feature: Declarations as they are stored and compared

  Scenario: A declaration comes back from its parts as it was
    Then 100 random declarations are the same after splitting, seed 21

  Scenario: A change of one workspace changes few parts
    Given a declaration of 24000 workspaces
    When the keys of one workspace change
    Then 1 part and the manifest change, below 40000 bytes together
    And a process that needs no workspaces needs 2 parts at most

  Scenario: Fields of a newer product are tolerated and kept
    Given a declaration with fields of a newer product
    Then it can be read, and an exception with an unknown match is left out
    And its stored text still has the fields

  Scenario: Content that does not match its hash is refused
    Given a declaration of 2000 workspaces
    Then a changed text, a changed part and an absent part are refused

  Scenario: Two editors change different things
    Given a base declaration that two editors change
    When one changes a key of a workspace and the other adds an exception
    Then the comparison names both changes and joins them

  Scenario: Two editors change the same thing
    Given a base declaration that two editors change
    When both change the same default in different ways
    Then the comparison names the conflict with all three values
