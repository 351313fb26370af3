Feature: Late requests get a second attempt within a limit

  Background:
    Given hedges of at most 0.03 of the requests in 60 s, after quantile 0.95

  Scenario: A request is late after the quantile of its own route's answers
    When route "fast" was answered 90 times within 20 to 30 ms
    And route "fast" was answered 10 times within 200 to 400 ms
    And route "slow" was answered 90 times within 200 to 300 ms
    And route "slow" was answered 10 times within 2000 to 4000 ms
    Then requests of "fast" are late after 280 to 320 ms
    And requests of "slow" are late after 2800 to 3200 ms

  Scenario: A request is not late before three times the median
    When route "fast" was answered 100 times within 20 to 40 ms
    Then requests of "fast" are late after 87 to 93 ms

  Scenario: No request is late until enough answers of its route are known
    When route "fast" was answered 19 times within 20 to 21 ms
    Then no request of "fast" is late
    When route "fast" was answered 1 times within 20 to 21 ms
    Then requests of "fast" are late after 60 to 63 ms

  Scenario: Answers of long ago do not decide what is late
    When route "fast" was answered 100 times within 20 to 21 ms
    And 121 s pass at the policy
    And route "fast" was answered 20 times within 200 to 210 ms
    Then requests of "fast" are late after 600 to 630 ms

  Scenario Outline: A late request gets a hedge only if nothing speaks against it
    Given 100 requests, 2 of them hedged
    When <event>
    Then a late request gets <outcome>

    Examples:
      | event                                     | outcome              |
      | nothing else happens                      | a hedge              |
      | another request is hedged                 | hedge budget used up |
      | a runner refused a request 900 ms ago     | runners refuse       |
      | a runner refused a request 1000 ms ago    | a hedge              |
      | less than half of the retry budget is left | retry budget short  |
      | the timer fires 26 ms late                | event loop late      |
      | the timer fires 25 ms late                | a hedge              |

  Scenario Outline: A hedge goes to a sound runner, elsewhere if there is one
    Given runners with 6 slots in failure domains "a b c b", the first of which is late
    When <event>
    Then a hedge may go to <expected>

    Examples:
      | event                            | expected              |
      | nothing happens to the runners   | 2 3 4                 |
      | runner 2 reports a queue         | 3 4                   |
      | runner 1 reports a queue         | 2 3 4                 |
      | runners 2 3 report a queue       | none: requests wait   |
      | runner 3 is avoided for losses   | 2 4                   |
      | runner 4 fails 5 requests        | 2 3                   |
      | runner 2 holds 6 requests        | 3 4                   |
      | runners 2 3 4 hold 5 requests    | none: service full    |
      | runners 2 3 4 are avoided for losses | none: no sound runner |
      | runners 2 3 4 leave              | none: no sound runner |

  Scenario: A hedge stays in the failure domain of the late runner if it must
    Given runners with 6 slots in failure domains "a a b", the first of which is late
    Then a hedge may go to 3
    When runner 3 is avoided for losses
    Then a hedge may go to 2

  Scenario: Budgets of many routers stay within the share in every window
    Given 60 routers with 2 requests a second each for 300 s, that hedge whatever they may
    When each is killed once at a time of its own and starts again
    Then hedges are at most 0.03 of the requests in every window of 60 s that ends with one
    And at least 0.015 of all requests are hedged

  Scenario: A budget stays within the share when requests come in bursts
    Given 4 routers with 50 requests a second each for 300 s, that hedge whatever they may
    When requests come only in the first 5 s of each 30 s
    Then hedges are at most 0.03 of the requests in every window of 60 s that ends with one
    And at least 0.015 of all requests are hedged

  Scenario: A new limit counts what was hedged under the one before
    Given 100 requests, 3 of them hedged
    Then a late request gets hedge budget used up
    When the limit becomes 0.05 of the requests
    Then a late request gets a hedge
