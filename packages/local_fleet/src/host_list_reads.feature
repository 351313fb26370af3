Feature: Reads of the host list

  Scenario: The host list is fetched only when it changed
    Given a local fleet
    When a client reads the host list twice
    Then the second read costs less than the list
    When a host begins to leave and the client reads again
    Then the client sees the change

  Scenario: Reads of a long host list become rarer
    Then a list of 315000 bytes is read again after 227 seconds
    And a list of 7000 bytes may be read each second for 9 seconds
