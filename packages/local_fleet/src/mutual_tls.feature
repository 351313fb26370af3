Feature: A fleet whose processes authenticate each other

  Scenario: A streamed chat works over mutual TLS
    Given a local fleet with certificates in its settings
    When a caller streams a chat of 5 answer tokens
    Then the caller has the 5 tokens that only its request yields

  Scenario: Forged requests to a sidecar are refused and not run
    Given a local fleet with certificates in its settings
    When a client without a certificate sends a forged attempt to a sidecar
    Then the forged attempt is refused with code 6004 and executed "no"

  Scenario: Operators read dumps with the certificate of the authority
    Given a local fleet with certificates in its settings
    Then an operator with the authority's certificate gets each process's dump

  Scenario Outline: The error code shows that nothing ran after a failed authentication
    Given a local fleet whose <processes> have expired certificates
    When a caller of the fleet requests a chat of two tokens
    Then the caller receives code <code> and executed "no"

    Examples:
      | processes | code |
      | routers   | 6004 |
      | sidecars  | 3010 |
