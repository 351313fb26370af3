Feature: Mutual TLS between processes

  Background:
    Given a control listener with a certificate of the fleet's authority

  Scenario: A peer with a certificate of the authority is served
    When a peer with a certificate of the same authority asks for members
    Then the peer is served over TLS
    And no refusal of a peer is logged

  Scenario Outline: A peer without a valid certificate is refused
    When a peer with <certificate> asks for members
    Then the peer is refused with code 6004
    And one refusal of a peer is logged with the reason <reason>

    Examples:
      | certificate                        | reason                             |
      | no certificate                     | CERTIFICATE_ABSENT                 |
      | a certificate of another authority | UNABLE_TO_VERIFY_LEAF_SIGNATURE    |
      | a certificate of another authority of the same name | CERT_SIGNATURE_FAILURE |
      | an expired certificate             | CERT_HAS_EXPIRED                   |

  Scenario: A plain connection is refused
    When a peer asks for members without TLS
    Then the peer's connection is closed
    And one refusal of a peer is logged with the reason ERR_SSL_HTTP_REQUEST

  Scenario: A peer refuses a listener of another authority
    When a peer that trusts another authority asks for members
    Then the peer does not send its question

  Scenario: Operators need their key and no certificate
    When an operator without a certificate asks for the dump with the key
    Then the operator gets the dump
    When an operator without a certificate asks for the dump with a wrong key
    Then the operator is refused with code 1002
    And no refusal of a peer is logged

  Scenario: Renewed certificates are taken up without a restart
    Given a peer that was served
    When the files of both are renewed under a new authority
    And the period of the timer service at which files are read has passed
    Then the peer is served over TLS
    And both present the renewed certificates

  Scenario: Files that do not fit together leave in force what was
    When the listener's key is renewed without its certificate
    Then a failed reload is logged once with code 6003
    When a peer with a certificate of the same authority asks for members
    Then the peer is served over TLS

  Scenario: A listener stops although a connection over TLS sent no request
    Given a connection over TLS that has sent nothing
    When the listener for mutual TLS stops
    Then the connection over TLS is closed
