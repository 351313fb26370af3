Feature: Gateways learn from a prefix's owner which engines hold it

  Background:
    Given 6 gateways that know the engines "e1" and "e2", and pass datagrams on to each other

  Scenario: One gateway learns where another one has sent a prefix
    Given gateway 1 has sent 50 prefixes to engine "e1"
    When gateway 2 asks for the holders of each
    Then it knows "e1" for all of them
    And each gateway was asked for a part of them, by one datagram each

  Scenario: Nothing is asked for a prefix whose holder is known
    Given gateway 1 has sent 50 prefixes to engine "e1"
    When gateway 1 asks for the holders of each
    Then no datagram was sent after the placements

  Scenario: An owner that does not answer costs a short time, once
    Given gateway 3 is cut off
    And gateway 1 has sent 50 prefixes to engine "e1"
    When gateway 2 asks for the holders of each, one after the other
    Then it has waited 20 ms at most in all
    And it knows "e1" for all that gateway 3 does not own

  Scenario: An engine that was restarted holds nothing
    Given gateway 1 has sent 50 prefixes to engine "e1"
    And engine "e1" has restarted, as gateway 2 knows
    When gateway 2 asks for the holders of each
    Then it knows no holder of any

  Scenario: The latest holder comes first
    Given gateway 1 has sent 50 prefixes to engine "e1"
    And gateway 4 sends them to engine "e2" 100 ms later
    When gateway 2 asks for the holders of each
    Then it knows "e2" before "e1" for all of them

  Scenario: A gateway alone asks nobody
    Given a gateway without others
    When it asks for the holders of a prefix
    Then it goes on at once
