Feature: A runner's process is gone if no connection to it stays open

  Scenario Outline: A process that <what> is <state>
    Given a runner whose port <what>
    When its process is probed
    Then it is found "<state>"

    Examples:
      | what                               | state     |
      | refuses connections                | gone      |
      | accepts and closes one, then none  | goneSince |
      | accepts and closes all connections | goneSince |
      | accepts and closes one             | alive     |
      | accepts connections                | alive     |
