Feature: The fault soak finds requests that go on crashing runners

  Scenario: Three requests with the part may still reach runners
    Given callers whose requests of every kind are served
    And five runners that crashed under one part of a prompt
    And 3 requests with that part that reach runners 3100 ms after the fifth crash
    Then there is no violation

  Scenario Outline: A fourth request or repeat that reaches a runner is found
    Given callers whose requests of every kind are served
    And five runners that crashed under one part of a prompt
    And <requests> requests with that part that reach <runners> after the fifth crash
    Then <result>

    Examples:
      | requests | runners                     | result                                          |
      | 4        | runners 3100 ms             | "crashing-parts" is the only violated check     |
      | 2        | two runners each, 3100 ms   | "crashing-parts" is the only violated check     |
      | 4        | runners 2900 ms             | there is no violation                           |

  Scenario Outline: A <kind> <result>
    Given callers whose requests of every kind are served
    And five runners that crashed under one part of a prompt
    And 4 requests with that part that reach runners <arrival> ms after the fifth crash
    And the fault "<kind>" 3500 ms after the fifth crash
    Then <violation>

    Examples:
      | kind               | arrival | result                            | violation                                   |
      | gateway-killed     | 7000    | excuses its gateway for 4 s       | there is no violation                       |
      | gateway-killed     | 8000    | excuses no gateway after 4 s      | "crashing-parts" is the only violated check |
      | all-killed         | 8000    | lets all gateways forget the part | there is no violation                       |
      | store-down         | 4000    | excuses nothing                   | "crashing-parts" is the only violated check |
      | runner-link-silent | 4000    | excuses nothing                   | "crashing-parts" is the only violated check |

  Scenario Outline: Sound requests <served> are compared with those before
    Given callers whose requests of every kind are served
    And five runners that crashed under one part of a prompt
    And sound requests of which <before> % begin at first attempt before and <after> % after 6100 ms
    Then <result>

    Examples:
      | served              | before | after | result                                      |
      | half as often       | 100    | 50    | there is no violation                       |
      | less than half      | 100    | 45    | "sound-requests" is the only violated check |
      | as often as before  | 40     | 40    | there is no violation                       |

  Scenario: Sound requests may suffer until 6 s after the fifth crash
    Given callers whose requests of every kind are served
    And five runners that crashed under one part of a prompt
    And sound requests of which 100 % begin at first attempt before and 40 % after 5800 ms
    Then there is no violation

  Scenario Outline: Sound requests suffer anew from gateways that forgot the part
    Given callers whose requests of every kind are served
    And five runners that crashed under one part of a prompt
    And the fault "all-killed" 500 ms after the fifth crash
    And one more runner that crashes under it 4000 ms after the fifth crash
    And sound requests of which 100 % begin at first attempt before and 40 % after <delay> ms
    Then <result>

    Examples:
      | delay | result                                      |
      | 6100  | there is no violation                       |
      | 10100 | "sound-requests" is the only violated check |

  Scenario Outline: A request that crashed three runners reaches runners <count> times more
    Given callers whose requests of every kind are served
    And three runners that crashed under one request
    And that request reaches runners <count> more times, <delay> ms after the third crash
    Then <result>

    Examples:
      | count | delay | result                                         |
      | 3     | 3100  | there is no violation                          |
      | 4     | 3100  | "crashing-requests" is the only violated check |
      | 4     | 2900  | there is no violation                          |
