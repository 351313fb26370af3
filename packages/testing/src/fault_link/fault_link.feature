Feature: A fault link passes on how a connection ends

  Scenario Outline: A server that <action> its connection after <bytes> bytes
    Given a server behind a fault link that <action> each connection after <bytes> bytes
    When a client connects to the link
    Then the client receives <bytes> bytes and its connection is <end>

    Examples:
      | action | bytes | end    |
      | closes | 5     | closed |
      | resets | 5     | reset  |
