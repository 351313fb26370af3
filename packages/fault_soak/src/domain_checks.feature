Feature: The checks of failure domains find late requests and nothing else

  Background:
    Given callers whose requests of every kind are served

  Scenario Outline: A lookup at a runner of an evacuated domain
    And a lookup at a runner whose domain has been evacuated for <ms> ms<end>
    Then <result>

    Examples:
      | ms   | end                          | result                                        |
      | 3100 |                              | "evacuated-domains" is the only violated check |
      | 2900 |                              | there is no violation                         |
      | 3100 | , and was taken back just before it | there is no violation                  |

  Scenario Outline: A fault that keeps the gateway from the store excuses it
    And a lookup at a runner whose domain has been evacuated for 3100 ms
    And a fault "<kind>" at that time
    Then <result>

    Examples:
      | kind              | result                                        |
      | store-link-silent | there is no violation                         |
      | store-limited     | there is no violation                         |
      | peer-link-silent  | "evacuated-domains" is the only violated check |
      | runner-paused     | "evacuated-domains" is the only violated check |

  Scenario Outline: Requests at a cold runner within a second
    And <count> lookups within 900 ms at a runner <cold>
    Then <result>

    Examples:
      | count | cold                       | result                                   |
      | 15    | that is cold               | "cold-runners" is the only violated check |
      | 14    | that is cold               | there is no violation                    |
      | 15    | that was cold until before | there is no violation                    |

  Scenario: Requests for the process before are not counted
    And 15 lookups for another runner within 900 ms at a runner that is cold
    Then there is no violation

  Scenario Outline: Only what holds requests up excuses them
    And 15 lookups within 900 ms at a runner that is cold
    And a fault "<kind>" at that time
    Then <result>

    Examples:
      | kind               | result                                   |
      | runner-link-silent | there is no violation                    |
      | runner-paused      | there is no violation                    |
      | runner-cold        | "cold-runners" is the only violated check |
      | runner-killed      | "cold-runners" is the only violated check |
      | gateway-killed     | "cold-runners" is the only violated check |
      | all-killed         | "cold-runners" is the only violated check |
      | store-down         | "cold-runners" is the only violated check |
