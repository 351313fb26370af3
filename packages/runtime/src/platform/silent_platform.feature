Feature: Connections to the platform that fall silent

  # Guards against changes that are read too late, since each call in turn is sent
  # on another connection that fell silent at the same time (review/10 on related
  # paths).
  Scenario: After one read without an answer, the next one is answered
    Given a platform, and a client with 3 open connections to it
    When the connections to the platform fall silent
    Then the next read gets no answer in time
    And the read after it is answered
