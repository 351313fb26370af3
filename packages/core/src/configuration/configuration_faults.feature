Feature: Faults of a declaration
  One report lists all faults of a document.

  Scenario Outline: A fault is reported at its path
    Given a declaration with <fault>
    When the declaration is checked
    Then the only fault is at "<path>" and mentions "<text>"

    Examples:
      | fault                                | path                               | text              |
      | an unknown default                   | defaults.request.deadline          | unknown field     |
      | an unknown value in an exception     | exceptions[0].set.request.deadline | unknown field     |
      | an unknown section in an exception   | exceptions[0].set.requests         | unknown field     |
      | a bad value in an exception          | exceptions[0].set.load.capMultiple | at least 1        |
      | an exception without a reason        | exceptions[0].reason               | a sentence        |
      | an exception that sets nothing       | exceptions[0].set                  | a value to set    |
      | an exception that matches all        | exceptions[0].match                | at least one      |
      | an exception for an unknown class    | exceptions[0].match.class          | unknown class     |
      | an exception for an unknown model    | exceptions[0].match.model          | unknown model     |
      | an exception for an unknown service  | exceptions[0].match.service        | unknown service   |
      | an exception for an unknown workspace| exceptions[0].match.workspace      | unknown workspace |
      | an unknown class by default          | defaults.request.class             | unknown class     |
      | a key of two workspaces              | workspaces[1].keyHashes[0]         | listed before     |
      | a workspace without keys             | workspaces[0].keyHashes            | at least 1        |
      | a workspace declared twice           | workspaces[1].id                   | duplicate         |
      | a key in place of its hash           | workspaces[0].keyHashes[0]         | text of 9 char    |

  Scenario: All faults are reported together
    Given a declaration with three faults
    When the declaration is checked
    Then there are 3 faults, on lines 2, 3 and 5

  Scenario: Arbitrary text does not make the parsers throw
    Then no text from seed 7 makes the parsers of documents throw
