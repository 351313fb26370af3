Feature: A silent runner is given up on while another one has time to answer

  Scenario Outline: Limit on the first byte of a <kind> answer
    Given a <kind> route with a goal of <goal> ms and a timeout of <timeout> ms
    And first bytes that came after <usual> ms
    Then another runner may take over after <limit> ms

    Examples:
      | kind       | goal | timeout | usual | limit |
      | idempotent |  300 |    1500 |    80 |   600 |
      | idempotent |  393 |     800 |    80 |   400 |
      | idempotent |  393 |     800 |   150 |   600 |
      | idempotent |  100 |     300 |    20 |   250 |
      | stream     |  800 |   12000 |    80 |  1000 |
