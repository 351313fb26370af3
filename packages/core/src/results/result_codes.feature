Feature: Result codes

  Scenario: The page in the docs lists exactly the codes of the program
    Then docs/result-codes.md has the rows of the program's table

  Scenario: Each code stands for one result
    Then no two results share a code

  Scenario: An error keeps its own code whatever its cause carries
    Then an error whose cause has the code "UND_ERR_SOCKET" has its own code
