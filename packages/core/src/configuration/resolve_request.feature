Feature: Settings of a request
  The deadline of a class overrides the default, and an exception overrides
  both.

  Scenario Outline: The deadline of a request comes from the most specific source
    Given a class "notes" with a deadline of 20000 ms and a default of 1000 ms
    When workspace <workspace> sends a request
    Then its deadline is <deadline> ms

    Examples:
      | workspace  | deadline |
      | "notes"    | 20000    |
      | "excepted" | 5000     |
      | "other"    | 1000     |
