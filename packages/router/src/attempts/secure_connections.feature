Feature: Connections of a router over mutual TLS

  Scenario: New connections present the reloaded credentials
    Given a listener for peers and a router's connections to it
    When a request is sent to the listener for peers
    Then the listener for peers sees the current certificate
    When both ends reload certificates of a new authority
    And a request is sent to the listener for peers
    Then the listener for peers sees the current certificate
