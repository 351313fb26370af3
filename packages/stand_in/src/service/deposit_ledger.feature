Feature: Plain service stand-in
  The stand-in service does not deduplicate calls. It counts their effects, and
  injected faults make it fail or hang before or after an effect.

  Background:
    Given a service stand-in

  Scenario Outline: A fault occurs before or after the effect
    When the service has the fault <fault> once and receives two refunds
    Then the first refund has <outcome> and <effects> effects are counted

    Examples:
      | fault                  | outcome   | effects |
      | "failuresBeforeEffect" | no answer | 1       |
      | "failuresAfterEffect"  | no answer | 2       |
      | "hangsBeforeEffect"    | silence   | 1       |
      | "hangsAfterEffect"     | silence   | 2       |

  Scenario: Calls with the same key take effect each time
    When two refunds with the same key are sent
    Then 2 effects are counted for that key
