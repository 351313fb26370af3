Feature: Bodies of requests that are read late

  Scenario: A caller that leaves while the process stalls has no body read
    Given a listener that reads bodies, and a connected caller
    When the caller sends a request and leaves while the process stalls for 50 ms
    Then the request ends with "callerGone"

  Scenario: The body of a caller that stays is read
    Given a listener that reads bodies, and a connected caller
    When the caller sends a request and stays while the process stalls for 50 ms
    Then its body is read
