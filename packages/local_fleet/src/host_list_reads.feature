Feature: Reads of the host list

  Scenario: The host list is transferred only when it has changed
    Given a local fleet
    When a client reads the host list twice
    Then the second read transfers fewer bytes than the list
    When a host starts leaving and the client reads again
    Then the client sees the change

  Scenario: The read rate falls with the length of the host list
    Then a list of 315000 bytes is read again after 227 seconds
    And a list of 7000 bytes may be read each second for 9 seconds
