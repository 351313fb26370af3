Feature: Each connection is bounded in what it costs

  Scenario: Pipelined requests are answered in order, one at a time
    Given a gateway for callers and its runner
    When a caller sends 500 pipelined lookups at once
    Then all are answered in order, and the runner never had two at a time

  Scenario: A body that stops short is refused as not run
    Given a gateway for callers whose bodies may pause for 100 ms
    When a part of a body is sent and nothing more
    Then it gets status 408 and its connection is closed
    And the runner got no request

  Scenario: A body that is announced too large is refused before it arrives
    Given a gateway for callers and its runner
    When a caller announces a body of 100001 bytes and sends none
    Then it gets status 413 and its connection is closed

  Scenario: A new connection takes the place of one that waits for its caller
    Given a gateway for callers with room for 4 connections
    When 4 callers connect and send nothing, and then one sends a lookup
    Then the lookup is answered
    And the one that connected first is closed, and counted as displaced

  Scenario Outline: Limits follow from the host
    When a host has <memory> MB and <descriptors> descriptors
    Then it has room for <callers> connections of callers, and <budget> MB for their bodies

    Examples:
      | memory | descriptors | callers | budget |
      | 250    | 4100        | 1950    | 31     |
      | 602    | 10250       | 4816    | 48     |
      | 200    | 400         | 100     | 25     |
