Feature: Gateways take the changes of the store from those that read it

  Scenario: A gateway follows a reader and does not call the store
    Given a gateway that follows a reader of 10 gateways
    When the reader sends a line of age 300 ms
    Then the gateway does not read the store
    And it has a state of age 300 ms

  Scenario: A gateway reads the store when its reader falls silent
    Given a gateway that follows a reader of 10 gateways
    When the reader sends a line of age 300 ms
    And 2000 ms pass without a line
    Then the gateway does not read the store
    When 200 ms pass without a line
    Then the gateway reads the store
    When the reader sends a line of age 100 ms
    Then the gateway does not read the store

  Scenario: A gateway reads the store when its reader's own state grows old
    Given a gateway that follows a reader of 10 gateways
    When the reader sends a line of age 300 ms
    And the reader sends a line of age 2500 ms
    Then the gateway reads the store

  Scenario: A reader that was suspended is not taken for current
    Given a gateway that follows a reader of 10 gateways
    When the reader sends a line of age 300 ms
    And the reader is suspended for 3000 ms and then sends a line of age 300 ms
    Then the gateway reads the store

  Scenario: A gateway that was suspended itself reads the store
    Given a gateway that follows a reader of 10 gateways
    When the reader sends a line of age 300 ms
    And the gateway is suspended for 3000 ms
    Then it has a state of age 3300 ms

  Scenario: A gateway passes over a reader whose stream breaks
    Given a gateway that follows a reader of 10 gateways
    When the reader sends a line of age 300 ms
    And its stream breaks
    Then the gateway subscribes to another gateway or reads the store

  Scenario: A gateway that no usable address leads from reads the store
    Given a gateway that follows a reader of 10 gateways
    When the reader sends a line of age 300 ms
    And its stream breaks and the records of all others have no usable address
    Then the gateway reads the store

  Scenario: A gateway passes over a reader that the store does not answer
    Given a gateway that follows a reader of 10 gateways
    When the reader sends that it is not current
    Then the gateway subscribes to another gateway or reads the store

  Scenario: Changes are sent once to each gateway that lacks them
    Given a publisher with runners of revision 5 and a subscriber of revision 3
    Then the subscriber has received the runners up to revision 5
    When the runners change to revision 6
    Then the subscriber has received the runners up to revision 6
    When 600 ms pass at the publisher
    Then the last line to the subscriber has no changes

  Scenario: A publisher that is not current ends its streams
    Given a publisher with runners of revision 5 and a subscriber of revision 3
    When the publisher's state is too old
    Then the subscriber was told so and its stream has ended

  Scenario: Long changes are sent compressed
    Given a declaration of 1240 routes
    Then its changes are unpacked as they were, from less than a tenth

  Scenario: A stream between two gateways carries changes over real connections
    Given a publisher with runners of revision 5 behind a real listener
    When a gateway with runners of revision 3 subscribes
    Then it receives the runners up to revision 5

  Scenario Outline: A stream that is not one ends with an error
    Given a listener that answers a subscription with <answer>
    Then the subscription fails

    Examples:
      | answer             |
      | a line without end |
      | no JSON            |
      | silence            |

  Scenario Outline: The shortest limit of changes decides when a gateway reads the store
    Then with limits of <leaving>, <declaration> and <evacuation> ms its state is too old after <age> ms

    Examples:
      | leaving | declaration | evacuation | age  |
      | 3000    | 2000        | 5000       | 1200 |
      | 3000    | 2000        | 1000       | 600  |
