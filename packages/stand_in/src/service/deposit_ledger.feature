Feature: Plain service stand-in
  The stand-in service does not protect itself against repeated calls, counts
  its effects, and fails before or after them when it is told to.

  Background:
    Given a service stand-in

  Scenario Outline: A fault shows before or after the effect
    When the service has one of <fault> and takes two refunds
    Then the first refund has <outcome> and <effects> effects are counted

    Examples:
      | fault                  | outcome   | effects |
      | "failuresBeforeEffect" | no answer | 1       |
      | "failuresAfterEffect"  | no answer | 2       |
      | "hangsBeforeEffect"    | silence   | 1       |
      | "hangsAfterEffect"     | silence   | 2       |

  Scenario: A repeated key has a repeated effect
    When two refunds with one key are taken
    Then 2 effects are counted for that key
