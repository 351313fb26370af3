Feature: A surge of one workspace
  When one workspace sends ten times its traffic, the others are served as
  before.

  Scenario Outline: The others' first tokens hardly move
    Given an engine behind admission and ten workspaces of uneven size
    Then a surge to 10 times moves the others' p95 first token by at most 10 %, seed <seed>

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
