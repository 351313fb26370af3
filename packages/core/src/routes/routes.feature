Feature: Requests find their declared route

  Scenario Outline: The longest prefix of the host wins
    Given routes "/a/" and "/a/b/" of host "one.example" and "/" of "two.example"
    Then "<host>" with "<path>" goes to "<route>"

    Examples:
      | host             | path     | route            |
      | one.example      | /a/x     | one.example/a/   |
      | one.example      | /a/b/x   | one.example/a/b/ |
      | ONE.example:8080 | /a/b/?q  | one.example/a/b/ |
      | one.example      | /a       | none             |
      | one.example      | /other/  | none             |
      | two.example      | /a/b/x   | two.example/     |
      | three.example    | /a/      | none             |

  Scenario: A split is kept over many requests
    Given a route that splits 90 to 10
    Then of 10000 requests 8800 to 9200 go to the first service

  Scenario: A service without weight gets nothing
    Given a route that splits 0 to 10
    Then of 1000 requests 0 to 0 go to the first service

  Scenario: A key belongs to the workspace that holds it now
    Given workspaces "kiosk" with key "k1" and "desk" with keys "k2" and "k3"
    Then key "k3" belongs to "desk" and key "k4" to nobody
