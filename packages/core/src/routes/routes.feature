Feature: Requests are matched to declared routes

  Scenario Outline: The longest matching prefix of the host is chosen
    Given routes "/a/" and "/a/b/" of host "one.example" and "/" of "two.example"
    Then "<host>" with "<path>" is matched to route "<route>"

    Examples:
      | host             | path     | route            |
      | one.example      | /a/x     | one.example/a/   |
      | one.example      | /a/b/x   | one.example/a/b/ |
      | ONE.example:8080 | /a/b/?q  | one.example/a/b/ |
      | one.example      | /a       | none             |
      | one.example      | /other/  | none             |
      | two.example      | /a/b/x   | two.example/     |
      | three.example    | /a/      | none             |

  Scenario: Requests are distributed by weight
    Given a route that splits 90 to 10
    Then of 10000 requests 8800 to 9200 go to the first service

  Scenario: A service of weight 0 gets no requests
    Given a route that splits 0 to 10
    Then of 1000 requests 0 to 0 go to the first service

  Scenario: An API key identifies its workspace
    Given workspaces "kiosk" with key "k1" and "desk" with keys "k2" and "k3"
    Then key "k3" belongs to "desk" and key "k4" to none
