Feature: Links of the fault soak

  Scenario: Bytes are relayed while the soak's own process is busy
    Given a process that notes when bytes reach it over a link
    When bytes are sent to it and this process is busy for 1000 ms
    Then they reached it within 500 ms

  Scenario: A fault is in force once it was ordered
    Given a process that notes when bytes reach it over a link
    When the link drops requests and bytes are sent to it
    Then nothing reached it within 300 ms
