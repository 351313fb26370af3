Feature: A planned stop interrupts no request

  Scenario: Every process is restarted in turn under load
    Given a local fleet that announces planned stops
    And callers that chat, look up and refund continuously
    When every sidecar and every router is restarted in turn
    Then no call failed, was cut or took effect twice

  Scenario: A drained runner gets no new work and its sidecar announces it
    Given a local fleet
    When an operator drains runner "assistant-1"
    Then its sidecar is leaving and no router sends it new work
    And the other runners still answer chats

  Scenario: A router stops being ready when its host is leaving
    Given a local fleet
    When the host list marks host "entry-2" as leaving
    Then router 2 is no longer ready and router 1 is
