Feature: Gateways tell each other what runners report of their load

  Background:
    Given a gateway that tells 2 of 9 others of the loads of runners "r1" and "r2"

  Scenario: Reports of a moment are sent together to a few others
    When answers of "r1" and "r2" report 7 and 9 requests
    And 100 ms pass for the reports
    Then 2 different gateways got one datagram with 7 and 9 requests

  Scenario: A small fleet sends no reports, since each gateway gets many answers
    Given a gateway that tells 2 of 6 others of the loads of runners "r1" and "r2"
    When answers of "r1" and "r2" report 7 and 9 requests
    Then "r1" is known to hold 7 requests
    When 100 ms pass for the reports
    Then no gateway got a datagram

  Scenario: Another gateway's report counts with its age
    When another gateway tells that "r1" held 30 requests 100 ms ago
    Then "r1" is known to hold 30 requests

  Scenario: A later report is not replaced by an earlier one
    When answers of "r1" and "r2" report 7 and 9 requests
    And another gateway tells that "r1" held 30 requests 100 ms ago
    Then "r1" is known to hold 7 requests

  Scenario: A report of a process that was restarted does not count
    When another gateway tells of an earlier process that "r1" held 30 requests
    Then "r1" is known to hold 0 requests

  Scenario: What another gateway told is told on with the next report
    When another gateway tells that "r1" held 30 requests 100 ms ago
    And an answer of "r2" reports 9 requests
    And 100 ms pass for the reports
    Then 2 different gateways got one datagram with 9 and 30 requests

  Scenario Outline: A datagram in another format is counted and ignored
    When a datagram with "<hex>" comes
    Then "r1" is known to hold 0 requests
    And 1 malformed datagram is counted

    Examples:
      | hex                      | what                   |
      |                          | nothing                |
      | ff00ff00                 | not CBOR               |
      | a1617801                 | an object              |
      | 8201f6                   | a list of other values |
      | 87010000002020200000     | negative numbers       |
      | 83010203                 | an incomplete report   |

  Scenario: Reports cross between two gateways by UDP
    Given a port for datagrams that hands them to the gateway
    When a datagram is sent to it that "r2" held 12 requests
    Then "r2" is known to hold 12 requests soon
