Feature: The fault soak finds answers that are lost although runners are sound

  Scenario Outline: A lost answer is found at any time
    Given callers whose requests of every kind are served
    And <loss>
    Then "lost-answers" is the only violated check

    Examples:
      | loss                                                        |
      | a stream that is cut while its runner is silent             |
      | a stream whose connection closes while its runner is silent |
      | a request that is failed while its runner is silent         |
      | a silent stream that is cut because another runner refuses  |

  Scenario Outline: A <kind> does not excuse a lost answer
    Given callers whose requests of every kind are served
    And a stream that is cut while its runner is silent
    And a fault "<kind>" at that time
    Then "lost-answers" is the only violated check

    Examples:
      | kind                |
      | declaration-changed |
      | runner-silent       |
      | runner-paused       |
      | runner-link-delayed |
      | store-down          |

  Scenario Outline: An answer that is lost for another reason is excused
    Given callers whose requests of every kind are served
    And <loss>
    Then there is no violation

    Examples:
      | loss                                              |
      | a silent stream that is cut at its time limit     |
      | a stream that is cut because its runner broke off |
      | a stream that is cut because its runner exited    |

  Scenario Outline: A <kind> excuses a lost answer
    Given callers whose requests of every kind are served
    And a stream that is cut while its runner is silent
    And a fault "<kind>" at that time
    Then there is no violation

    Examples:
      | kind              |
      | gateway-killed    |
      | caller-link-reset |
      | runner-link-reset |
