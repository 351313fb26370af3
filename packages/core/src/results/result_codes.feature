Feature: Result codes

  Scenario: The documentation lists exactly the result codes of the program
    Then docs/result-codes.md has the rows of the generated table

  Scenario: Each code belongs to one result
    Then no two results share a code

  Scenario: An error keeps its own code when its cause has another
    Then an error whose cause has the code "UND_ERR_SOCKET" has its own code
