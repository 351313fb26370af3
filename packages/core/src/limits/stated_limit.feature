Feature: Routers share the limit that a runner states

  Scenario Outline: All routers together use what a runner accepts
    When <routers> routers send all they may for 60 seconds at a limit of <limit> requests a second
    Then the runner gets between <least> and <most> requests

    Examples:
      | routers | limit | least | most |
      | 1       | 4     | 235   | 245  |
      | 5       | 3.3   | 190   | 205  |
      | 24      | 2.8   | 160   | 175  |
      | 68      | 50    | 2900  | 3070 |
      | 390     | 0.5   | 27    | 34   |

  Scenario: No window of 4 seconds exceeds one and a half times the limit
    Then in 300 random runs no 4 seconds have more than 1.5 times the limit and 5 requests

  Scenario: Routers that do not know each other assume some others
    Given routers that know no others
    When 4 routers send all they may for 60 seconds at a limit of 4 requests a second
    Then the runner gets between 220 and 245 requests

  Scenario: A limit that no answer states again is forgotten
    Given a router that knows a limit of 0 requests a second
    Then it sends nothing for 60 seconds and something afterwards
