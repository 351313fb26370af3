Feature: Connections of a router over mutual TLS

  Scenario: Renewed credentials are presented on new connections
    Given a listener for peers and a router's connections to it
    When a request is sent to the listener for peers
    Then the listener for peers sees the certificate in force
    When both ends reload certificates of a new authority
    And a request is sent to the listener for peers
    Then the listener for peers sees the certificate in force
