Feature: Prompts with a part that crashes runners are kept from them

  Scenario: A part that crashed five runners crashes at most three more
    Given 4 gateways and 8 runners
    When requests with a part that crashes runners have crashed 5 or all gateways refuse them
    And 20 more requests with the part are sent to all gateways
    Then at most 3 of them have reached runners
    And the others are refused as not run with result 2007

  Scenario: Each gateway has seen one crash at most
    Given 6 gateways and 8 runners
    When each of 5 gateways has sent one request with the part that is not repeated
    And 20 more requests with the part are sent to all gateways
    Then at most 3 of them have reached runners

  Scenario: A request that has crashed one runner does not crash the next
    Given 4 gateways and 8 runners
    And a request with a part that crashes runners has begun at one that goes on
    When requests with a part that crashes runners have crashed 5 or all gateways refuse them
    And the runner that went on crashes
    Then that request has reached 1 runner and its answer is cut

  Scenario: A gateway that starts later knows the part
    Given 4 gateways and 8 runners
    When requests with a part that crashes runners have crashed 5 or all gateways refuse them
    And another gateway starts
    And 10 more requests with the part are sent to the last gateway
    Then at most 3 of them have reached runners

  Scenario: Gateways share the part while the store does not answer
    Given 4 gateways and 12 runners
    When the store does not answer any gateway
    And requests with a part that crashes runners have crashed 5 or all gateways refuse them
    And 20 more requests with the part are sent to all gateways
    Then at most 3 of them have reached runners

  Scenario: Sound requests with the same other parts go on at the first attempt
    Given 4 gateways and 8 runners
    And 8 sound requests were answered
    When requests with a part that crashes runners have crashed 5 or all gateways refuse them
    And 20 sound requests with the same other parts are sent to all gateways
    Then all are answered at the first attempt

  Scenario: A part is found although its answers seem to end regularly
    Given 4 gateways and 8 runners
    And answers that crash runners come without a length
    When requests with a part that crashes runners have crashed 5 or all gateways refuse them
    And 20 more requests with the part are sent to all gateways
    Then at most 3 of them have reached runners

  Scenario: A part is found although ports close later than connections
    Given 4 gateways and 8 runners
    And runners that crash close their port 50 ms after their connections
    When requests with a part that crashes runners have crashed 5 or all gateways refuse them
    And the gateways have found that the runners are gone
    And 20 more requests with the part are sent to all gateways
    Then at most 3 of them have reached runners

  Scenario: A part is found by the other answers that its runners broke off
    Given 4 gateways and 8 runners
    And 8 sound requests were answered
    And answers that crash runners come without a length
    And runners that crash close their port 50 ms after their connections
    When 5 runners crash under requests with the part, each beside a sound request
    And the gateways have found that the runners are gone
    And 20 more requests with the part are sent to all gateways
    Then at most 3 of them have reached runners

  Scenario: Sound parts whose answers come without a length are not quarantined
    Given 4 gateways and 8 runners
    And sound answers come without a length
    And 8 sound requests were answered
    And the gateways have found that the runners live
    When requests with a part that crashes runners have crashed 5 or all gateways refuse them
    Then the crashing part alone is quarantined, at all gateways

  Scenario: Connections that are closed while all runners live are no crashes
    Given 4 gateways and 8 runners
    When runners that live close their connections under 40 sound requests
    Then no gateway knows of a crash
    And 20 sound requests with the same other parts are answered at the first attempt

  Scenario: A crash that takes many first requests along
    Given 4 gateways and 8 runners
    When 40 sound requests have begun at runners, of which 1 crashes
    Then all gateways know of crashes and none has a part in quarantine
    And 20 sound requests with the same other parts are answered at the first attempt

  Scenario: Runners that crash at once under a part that one gateway knows as sound
    Given 4 gateways and 8 runners
    And 1 sound request was answered
    When 40 sound requests have begun at runners, of which 5 crash
    Then all gateways know of crashes and none has a part in quarantine
    And 20 sound requests with the same other parts are answered at the first attempt

  Scenario: Runners that crash at once under a new part, of which answers still end
    Given 4 gateways and 8 runners
    When 40 sound requests have begun at runners, of which 5 crash
    And the requests at the other runners are answered
    Then all gateways know of crashes and none has a part in quarantine
    And 20 sound requests with the same other parts are answered at the first attempt

  Scenario: One answer at one gateway clears the part at all
    Given 4 gateways and 8 runners
    When 40 sound requests have begun at runners, of which 5 crash
    Then all gateways know of crashes and each has a part in quarantine
    When one request at another runner is answered
    Then no gateway has a part in quarantine any more
    And 20 sound requests with the same other parts are answered at the first attempt

  Scenario: A gateway that sees no crash itself hears that the part is sound
    Given 4 gateways and 8 runners
    And 1 sound request was answered
    When 40 sound requests of one other gateway have begun at runners, of which 5 crash
    Then all gateways know of crashes and none has a part in quarantine
    And 20 sound requests with the same other parts are answered at the first attempt

  Scenario: A gateway hears that a part is sound from those that were told so
    Given 5 gateways and 8 runners
    And 1 sound request was answered
    When 3 runners crash one after the other, under requests of 3 other gateways
    Then no gateway has a part in quarantine any more
    And 20 sound requests with the same other parts are answered at the first attempt

  Scenario: A sound part in quarantine is cleared by a request on trial
    Given 4 gateways and 8 runners
    When 40 sound requests have begun at runners, of which 5 crash
    Then all gateways know of crashes and each has a part in quarantine
    When sound requests are sent to all gateways until one is answered
    Then no gateway has a part in quarantine any more
    And 20 sound requests with the same other parts are answered at the first attempt

  Scenario: A part that crashes runners stays in quarantine when it is tried
    Given 4 gateways and 8 runners
    When requests with a part that crashes runners have crashed 5 or all gateways refuse them
    And such requests are sent to all gateways for 8 s
    Then at most 3 of them have reached runners
    And each of them reached one runner at most
    And of further ones, all gateways learn that one on trial crashed a runner

  Scenario: Refused callers come back soon while trials may find the part sound
    Given 4 gateways and 8 runners
    When 40 sound requests have begun at runners, of which 5 crash
    Then all gateways know of crashes and each has a part in quarantine
    And refused requests are told to come back in 1 to 10 s
