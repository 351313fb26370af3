Feature: Mutual TLS between processes

  Background:
    Given a control listener with a certificate of the fleet's authority

  Scenario: A peer with a certificate of the authority is served
    When a peer with a certificate of the same authority requests the members
    Then the peer is served over TLS
    And no refusal of a peer is logged

  Scenario Outline: A peer without a valid certificate is refused
    When a peer with <certificate> requests the members
    Then the peer is refused with code 6004
    And one refusal of a peer is logged with the reason <reason>

    Examples:
      | certificate                        | reason                             |
      | no certificate                     | CERTIFICATE_ABSENT                 |
      | a certificate of another authority | UNABLE_TO_VERIFY_LEAF_SIGNATURE    |
      | a certificate of another authority of the same name | CERT_SIGNATURE_FAILURE |
      | an expired certificate             | CERT_HAS_EXPIRED                   |

  Scenario: A plain connection is refused
    When a peer requests the members without TLS
    Then the peer's connection is closed
    And one refusal of a peer is logged with the reason ERR_SSL_HTTP_REQUEST

  Scenario: A peer refuses a listener of another authority
    When a peer that trusts another authority requests the members
    Then the peer does not send its request

  Scenario: Operators need the operator key but no certificate
    When an operator without a certificate requests the dump with the key
    Then the operator gets the dump
    When an operator without a certificate requests the dump with a wrong key
    Then the operator is refused with code 1002
    And no refusal of a peer is logged

  Scenario: Renewed certificates are used without a restart
    Given a peer that was served
    When the files of both are renewed with a new authority
    And the reload period of the files has passed
    Then the peer is served over TLS
    And both present the renewed certificates

  Scenario: A key that does not belong to the certificate is not used
    When the listener's key is renewed without its certificate
    Then a failed reload is logged once with code 6003
    When a peer with a certificate of the same authority requests the members
    Then the peer is served over TLS

  Scenario: A TLS connection that never sent a request does not delay the stop
    Given a connection over TLS that has sent nothing
    When the listener for mutual TLS stops
    Then the connection over TLS is closed
