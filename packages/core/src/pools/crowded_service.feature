Feature: A service has less room than its callers ask for

  Callers of a plain service with 18 places, whose time aimed at is 300 ms; each
  of them comes back once after a refusal. Routers see few answers each.

  Scenario Outline: Requests that would wait for too long are refused
    When <routers> routers that tell 3 others of loads get <demand> times what a service can do, for 20 seconds
    Then with refusals at least <gain> more of 100 are answered in time
    And at most 3 more of 100 are refused for good

    Examples:
      | routers | demand | gain |
      | 6       | 1.15   | 25   |
      | 6       | 1.3    | 25   |
      | 24      | 1.15   | 25   |
      | 24      | 1.3    | 25   |
      | 68      | 1.3    | 25   |

  Scenario: Nothing is refused while there is room
    When 24 routers that tell 3 others of loads get 0.7 times what a service can do, for 6 seconds
    Then with refusals all but 1 of 100 are answered in time

  Scenario: Routers need to know loads early to refuse no more than they must
    When 68 routers that tell 0 others of loads get 0.9 times what a service can do, for 20 seconds
    Then with refusals 5 of 100 or more are not answered in time
    When 68 routers that tell 3 others of loads get 0.9 times what a service can do, for 6 seconds
    Then with refusals all but 1 of 100 are answered in time

  Scenario Outline: The limit on waiting
    Given a runner with 6 slots that holds <held> requests of 60 ms, at a host that is <slowness> times as slow
    When a request with a goal of <goal> ms comes
    Then it is <outcome>

    Examples:
      | held | slowness | goal | outcome |
      | 5    | 1        | 300  | sent    |
      | 16   | 1        | 300  | sent    |
      | 18   | 1        | 300  | refused |
      | 16   | 2.5      | 300  | refused |
      | 10   | 1        | 100  | sent    |
      | 12   | 1        | 100  | refused |

  Scenario: A reported slowness counts less with each moment
    Given a runner with 6 slots that holds 12 requests of 60 ms, at a host that is 3 times as slow
    Then its expected wait falls from 210 ms to at most 75 ms within 1800 ms
