Feature: Routers share what a cold runner tolerates

  Scenario Outline: All routers together stay within what it tolerates
    When <routers> routers send all they may for 3 seconds to a runner that is cold for 3000 ms and tolerates 23 requests a second
    Then no second has more than 23 requests
    And the runner gets at least <least> requests

    Examples:
      | routers | least |
      | 1       | 69    |
      | 4       | 69    |
      | 22      | 69    |
      | 24      | 69    |
      | 40      | 69    |
      | 68      | 69    |

  Scenario: No second exceeds the limit, however requests come
    Then in 200 random runs no second has more requests than a cold runner tolerates

  Scenario: Routers disagree on which others live
    Then in 200 random fleets whose routers each still list some that are gone, the shares stay within what a cold runner tolerates

  Scenario: Routers that have joined are not known to the others yet
    Given 6 of the routers are not known to the others
    When 24 routers send all they may for 3 seconds to a runner that is cold for 3000 ms and tolerates 23 requests a second
    Then no second has more than 29 requests

  Scenario: Routers that have just started and know no others send nothing
    Given routers that have just started and know no others
    When 24 routers send all they may for 2 seconds to a runner that is cold for 3000 ms and tolerates 23 requests a second
    Then the runner gets no request

  Scenario: Routers that no list has yet send nothing
    Given 22 of the routers are in no list yet, and know 24 others
    When 46 routers send all they may for 3 seconds to a runner that is cold for 3000 ms and tolerates 23 requests a second
    Then no second has more than 23 requests

  Scenario: Requests that wait for connections are counted when they are sent
    Given a router that knows no other has sent 23 requests to a runner that is cold and tolerates 23 requests a second
    And they wait for connections for 1200 ms, while the router sends 23 more
    When their connections open
    Then none of the requests that waited may be sent

  Scenario: Requests that wait for connections briefly are sent
    Given a router that knows no other has sent 23 requests to a runner that is cold and tolerates 23 requests a second
    When their connections open
    Then all of the requests that waited may be sent

  Scenario: A runner that is no longer cold has no limit
    When 24 routers send all they may for 2 seconds to a runner that is cold for 1000 ms and tolerates 23 requests a second
    Then the runner gets at least 1000 requests

  Scenario: What was sent before a runner is cold counts
    Given a router that knows no other has sent 30 requests to a runner that is not cold
    When the runner becomes cold and tolerates 23 requests a second
    Then the router waits 1000 ms before it sends the next request

  Scenario: A runner without a declared limit is not limited
    When 24 routers send all they may for 1 seconds to a cold runner without a declared limit
    Then the runner gets at least 1000 requests

  Scenario: A share is computed once while the routers are the same
    Given a share of a limit among 300 routers
    When it is asked for 50 times, before and after they change
    Then it was computed 2 times
