Feature: A fleet whose processes authenticate each other

  Background:
    Given a local fleet with certificates in its settings

  Scenario: A streamed chat passes over mutual TLS
    When a caller streams a chat of 5 answer tokens
    Then the caller has the 5 tokens that only its request yields

  Scenario: Forged requests to a sidecar are refused unrun
    When a client without a certificate sends a forged attempt to a sidecar
    Then the forged attempt is refused with code 6004 and executed "no"

  Scenario: Operators read dumps with the authority's file
    Then an operator with the authority's file gets the dump of each process
