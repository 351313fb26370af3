Feature: Requests of a service are distributed among its runners

  Scenario: All routers send requests with a shared prefix to the same engine
    Given 13 engines without load
    Then 200 shared prefixes have the same home in any order of the engines

  Scenario: Added engines do not move a prefix that is held elsewhere
    Given 13 engines without load
    And an engine holds the prefix "review-7"
    When 3 engines are added
    Then requests with the prefix "review-7" go to its holder

  Scenario: A prefix that all requests share loads no engine beyond the bound
    Given 13 engines with 6 requests each
    When 60 requests with the prefix "hot" of 10000 tokens arrive at once
    Then no engine has more requests than 2 times the mean plus 3

  Scenario: Short prefixes leave a busy home before long ones
    Given 13 engines with 6 requests each
    When the home of the prefix "p" has 13 requests
    Then a prompt with 10000 shared tokens stays at its home
    And a prompt with 200 shared tokens leaves its home, which is a copy source

  Scenario Outline: Only requests that may queue are placed while all engines are full
    Given 4 engines with <own> requests each
    When all engines report <others> requests more of other routers
    Then a request that must not queue is <outcome>
    And a request that may queue is placed
    When 2001 ms pass at the pool
    Then a request that must not queue is <later>

    Examples:
      | own | others | outcome | later   |
      | 95  | 0      | placed  | placed  |
      | 96  | 0      | refused | refused |
      | 10  | 86     | refused | placed  |

  Scenario: Whether requests wait at a runner is known for two seconds
    Given a runner that reports 96 running requests, 2 of them by this router
    Then no requests are known to wait there
    When it reports 1 waiting request
    Then requests are known to wait there
    When 2001 ms pass without reports
    Then no requests are known to wait there

  Scenario: A runner that loses requests is avoided for a while
    Given 4 plain runners
    When runner 2 loses 2 requests in a row
    Then it gets none of 100 requests
    When 12000 ms pass without requests
    Then it gets some of 100 requests

  Scenario Outline: Late requests in a row count as half as many that are lost
    Given 4 plain runners
    When runner 2 is late with <late> requests in a row
    And runner 3 loses <lost> requests in a row
    And <quiet> ms pass without requests
    Then <avoided> of runners 2 and 3 are avoided

    Examples:
      | late | lost | quiet | avoided |
      | 3    | 1    | 0     | 0       |
      | 4    | 2    | 499   | 2       |
      | 4    | 2    | 500   | 0       |
      | 6    | 3    | 999   | 2       |
      | 6    | 3    | 1000  | 0       |

  Scenario: A runner that is late gets fewer requests
    Given 4 plain runners
    When runner 2 is late with 1 requests in a row
    Then it gets none of 100 requests
    When 20000 ms pass without requests
    Then it gets some of 100 requests

  Scenario: A runner that fails some of its requests gets fewer
    Given 4 plain runners
    When runner 2 fails 10 of 20 requests
    Then it gets none of 100 requests
    When 20000 ms pass without requests
    Then it gets some of 100 requests

  Scenario: Avoided runners are used when all runners are avoided
    Given 4 plain runners
    When every runner loses 2 requests in a row
    Then 100 requests are all placed

  Scenario: Reported load counts the requests of other routers
    Given a runner that reports 9 running requests, 2 of them by this router
    When this router sends 1 more request
    Then the runner is estimated to hold 10 requests
    When 3000 ms pass without reports
    Then the runner is estimated to hold 3 requests

  Scenario: An added engine copies from the home before, not from another new one
    Given 84 engines without load
    When 60 engines are added 20000 ms later
    Then 50 prefixes whose home is new are copied from their home before

  Scenario: All routers together stay within the retry budget
    Given 4 routers with a budget of 0.2 retries per request plus 54 per 10 s
    When each has 50 requests a second for 30 s and tries to retry each
    Then no span of 10 s exceeds the budget, and at least 200 retries were allowed

  Scenario: Whether half of a router's share of the retry budget is left
    Given 1 routers with a budget of 0.2 retries per request plus 0 per 10 s
    When the router has 100 requests and retries 7 times
    Then half of its share is left
    When the router has 0 requests and retries 1 times
    Then half of its share is not left
    When the router has 20 requests and retries 0 times
    Then half of its share is left

  # Guards against a router that spends its share of the budget again after each
  # restart, within the window in which its predecessor has.
  Scenario Outline: Routers that restart in turn stay within the retry budget
    Given <routers> routers with a budget of 0.2 retries per request plus 58 per 10 s
    When each has <rate> requests a second for 40 s, retries each from <from> s on, and restarts 15 s after the start, in turn within <spread> s
    Then all spans of 10 s with <rate> requests a second each stay within the budget

    Examples:
      | routers | rate | from | spread |
      | 4       | 10   | 0    | 1      |
      | 5       | 4    | 0    | 1      |
      | 5       | 8    | 0    | 8      |
      | 24      | 1    | 0    | 9      |
      | 5       | 2    | 11   | 0      |
      | 5       | 2    | 11   | 3      |

  # Guards against routers that take each other to be few while they do not know
  # each other.
  Scenario Outline: Routers that do not know their number stay within the budget
    Given <routers> routers with a budget of 0.2 retries per request plus 58 per 10 s
    When each has <rate> requests a second for 20 s, retries each, and does not know their number
    Then all spans of 10 s with <rate> requests a second each stay within the budget

    Examples:
      | routers | rate |
      | 4       | 10   |
      | 5       | 8    |
      | 24      | 4    |
      | 24      | 1    |
